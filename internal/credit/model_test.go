package credit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/credit"
	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/testkit"
)

const gatewayCount = 8

var promptSizes = []int64{100, 500, 2_000, 8_000, 8_000, 9_000, 12_000, 30_000, 90_000, 101_000, 150_000}

var modelLimits = credit.Limits{
	Cold:         config.Limit{Streams: 3, Tokens: 40_000},
	Warm:         config.Limit{Streams: 16, Tokens: 400_000},
	LongPrefills: 1,
	ShortShare:   0.25,
}

// job is a granted request in the model: a credit until its dispatch, then a stream on the engine.
type job struct {
	id             string
	gateway        int
	incarnation    int64
	sentAt         time.Time
	prompt, output int64
	running        bool
	listedAt       time.Time
	prefilled      bool
	// gatewayEnded is true if the gateway has ended the request or is dead, but the engine may still run it.
	gatewayEnded bool
}

type sample struct {
	report engine.LoadReport
	at     time.Time
}

// model holds the actual state of one engine and eight gateways, and the owner's account of it. Reports wait in a queue
// from which they are delivered late, twice, out of order or never.
type model struct {
	t            *rapid.T
	now          time.Time
	account      *credit.Account
	outOfService bool
	jobs         []*job
	incarnations [gatewayCount]int64
	engineStart  int
	// completions and completedTokens are those of the current run of the engine.
	completions     int
	completedTokens int64
	// reportedStart is the latest run of the engine of which the current account has a report.
	reportedStart int
	samples       []sample
	reports       []peer.CreditReport
	lastID        int
	teams         int
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.Unix(1_000_000, 0), teams: 1 + 2*uniform(t, "teams", 1)}
	m.changeOwner()
	return m
}

// uniform draws uniformly from 0 to most. rapid's integer generators prefer small values, which would make most actions
// rare.
func uniform(t *rapid.T, label string, most int) int {
	return rapid.Custom(func(t *rapid.T) int {
		value := 0
		for range 12 {
			value *= 2
			if rapid.Bool().Draw(t, "bit") {
				value++
			}
		}
		return value % (most + 1)
	}).Draw(t, label)
}

func (m *model) draw(label string, most int) int { return uniform(m.t, label, most) }

func (m *model) advance(most int) {
	m.now = m.now.Add(time.Duration(m.draw("ms", most)) * time.Millisecond)
}

// changeOwner replaces the owner by a new one, whose account is empty.
func (m *model) changeOwner() {
	m.account = credit.New(credit.Options{Endpoint: "e", Owner: "o", Limits: modelLimits, AcquiredAt: m.now})
	m.account.SetOutOfService(m.outOfService)
	m.reportedStart = -1
}

func (m *model) prompt() int64 { return promptSizes[m.draw("prompt", len(promptSizes)-1)] }

func (m *model) reserve() { m.reserveSize(m.prompt()) }

func (m *model) reserveSize(prompt int64) {
	gateway := m.draw("gateway", gatewayCount-1)
	m.lastID++
	j := &job{
		id: fmt.Sprint("r", m.lastID), gateway: gateway, incarnation: m.incarnations[gateway], prompt: prompt,
		output: int64(m.draw("output", 4_000)), sentAt: m.now.Add(-time.Duration(m.draw("delay", 400)) * time.Millisecond),
	}
	request := peer.CreditRequest{
		RequestID: j.id, Endpoint: "e", Team: fmt.Sprint("t", m.draw("team", m.teams-1)), PromptTokens: prompt,
		OutputTokens: j.output, BudgetLeft: time.Minute,
	}
	if !m.account.Reserve(m.now, request, fmt.Sprint("g", gateway), j.incarnation).Granted {
		return
	}
	if m.outOfService {
		m.t.Fatalf("granted %s while out of service", j.id)
	}
	if m.reportedStart == m.engineStart && m.completions == 0 && prompt+j.output > modelLimits.Cold.Tokens {
		m.t.Fatalf("granted %d tokens on an engine that is known to be cold", prompt+j.output)
	}
	m.jobs = append(m.jobs, j)
}

// pick returns a job for which the condition holds, or nil.
func (m *model) pick(condition func(*job) bool) *job {
	matching := slices.DeleteFunc(slices.Clone(m.jobs), func(j *job) bool { return !condition(j) })
	if len(matching) == 0 {
		return nil
	}
	return matching[m.draw("job", len(matching)-1)]
}

func (m *model) remove(removed *job) {
	m.jobs = slices.DeleteFunc(m.jobs, func(j *job) bool { return j == removed })
}

func (m *model) send(j *job, state peer.ReportState) {
	if j.gatewayEnded {
		return
	}
	m.reports = append(m.reports, peer.CreditReport{
		Gateway: fmt.Sprint("g", j.gateway), Incarnation: j.incarnation,
		Items: []peer.CreditReportItem{{
			RequestID: j.id, Endpoint: "e", State: state, PromptTokens: j.prompt, OutputTokens: j.output,
		}},
	})
}

// usable reports whether the request can still be dispatched on its credit, if the gateway's clock runs 5% slow.
func (m *model) usable(j *job) bool { return !j.running && m.now.Sub(j.sentAt) < 1050*time.Millisecond }

func (m *model) dispatch() {
	if j := m.pick(m.usable); j != nil {
		j.running = true
		j.listedAt = m.now.Add(time.Duration(m.draw("listing", 240)) * time.Millisecond)
		m.send(j, peer.ReportStarted)
	}
}

func (m *model) dropUnused() {
	if j := m.pick(func(j *job) bool { return !j.running }); j != nil {
		m.send(j, peer.ReportUnused)
		m.remove(j)
	}
}

func (m *model) finishPrefill() {
	if j := m.pick(func(j *job) bool { return j.running && !j.prefilled }); j != nil {
		j.prefilled = true
		m.send(j, peer.ReportPrefill)
	}
}

func (m *model) finish() {
	if j := m.pick(func(j *job) bool { return j.running }); j != nil {
		m.completions++
		m.completedTokens += j.prompt + j.output
		m.send(j, peer.ReportDone)
		m.remove(j)
	}
}

// cancel ends a request at its gateway. The engine still runs it, because the cancellation was lost.
func (m *model) cancel() {
	if j := m.pick(func(j *job) bool { return j.running }); j != nil {
		m.send(j, []peer.ReportState{peer.ReportCancelled, peer.ReportFailed}[m.draw("failed", 1)])
		j.gatewayEnded = true
	}
}

func (m *model) restartEngine() {
	m.engineStart++
	m.completions = 0
	m.completedTokens = 0
	for _, j := range m.jobs {
		if j.running {
			m.send(j, peer.ReportFailed)
		}
	}
	m.jobs = slices.DeleteFunc(m.jobs, func(j *job) bool { return j.running })
}

func (m *model) killGateway() {
	gateway := m.draw("gateway", gatewayCount-1)
	if m.draw("reported", 1) == 1 {
		m.account.GatewayDead(fmt.Sprint("g", gateway), m.incarnations[gateway])
	}
	m.incarnations[gateway]++
	for _, j := range m.jobs {
		j.gatewayEnded = j.gatewayEnded || j.gateway == gateway
	}
	m.jobs = slices.DeleteFunc(m.jobs, func(j *job) bool { return !j.running && j.gateway == gateway })
}

func (m *model) reportHeld() {
	for _, j := range m.jobs {
		m.send(j, peer.ReportHeld)
	}
}

func (m *model) deliverReport() {
	if len(m.reports) == 0 {
		return
	}
	i := m.draw("message", min(len(m.reports)-1, 3))
	outcome := m.draw("fate", 9)
	if outcome > 0 {
		m.account.Report(m.now, m.reports[i])
	}
	if outcome < 8 {
		m.reports = append(m.reports[:i], m.reports[i+1:]...)
	}
}

func (m *model) takeSample() {
	report := engine.LoadReport{
		StartID: fmt.Sprint("s", m.engineStart), AtMS: m.now.UnixMilli(), MemoryTokens: modelLimits.Warm.Tokens,
		Warm: m.draw("warm", 59) > 0,
	}
	for _, j := range m.jobs {
		if !j.running || j.listedAt.After(m.now) {
			continue
		}
		phase := engine.PhasePrefill
		if j.prefilled {
			phase = engine.PhaseDecode
		}
		report.Streams = append(report.Streams, engine.Stream{ID: j.id, Tokens: j.prompt + j.output, Phase: phase})
		report.UsedTokens += j.prompt + j.output
	}
	m.samples = append(m.samples, sample{report, m.now})
}

// deliverSample delivers one of the latest four samples, so that engine reports are late, repeated and out of order.
func (m *model) deliverSample() {
	if len(m.samples) == 0 {
		return
	}
	s := m.samples[max(len(m.samples)-1-m.draw("lag", 3), 0)]
	m.account.EngineReport(m.now, s.report, s.at)
	if s.report.StartID == fmt.Sprint("s", m.engineStart) {
		m.reportedStart = m.engineStart
	}
}

func (m *model) cancelOrphans() {
	for _, id := range m.account.Orphans(m.now) {
		if j := m.pick(func(j *job) bool { return j.id == id }); j != nil {
			m.remove(j)
		}
	}
}

// rampStreams returns the number of streams that the work completed by the current run of the engine allows. Step n needs
// completed work of 2^n - 1 times the cold limit, some steps in streams and some in tokens.
func (m *model) rampStreams() int {
	done := float64(m.completions)/float64(modelLimits.Cold.Streams) +
		float64(m.completedTokens)/float64(modelLimits.Cold.Tokens)
	streams, steps := modelLimits.Cold.Streams, 2.0
	for done >= steps-1 && streams < modelLimits.Warm.Streams {
		streams, steps = streams*2, steps*2
	}
	return min(streams, modelLimits.Warm.Streams)
}

// check compares the actual load of the engine with the limits. Credits that may still be used count as streams.
func (m *model) check() {
	var all, longer config.Limit
	charge, longPrefills := int64(0), 0
	coldLonger := modelLimits.Cold.Tokens - modelLimits.Cold.Tokens/4
	for _, j := range m.jobs {
		if !j.running && !m.usable(j) {
			continue
		}
		all.Streams++
		all.Tokens += j.prompt + j.output
		if peer.ClassOf(j.prompt) == peer.ClassShort {
			charge += j.prompt + j.output
			continue
		}
		longer.Streams++
		longer.Tokens += j.prompt + j.output
		charge += min(j.prompt+j.output, coldLonger)
		if peer.ClassOf(j.prompt) == peer.ClassLong && !j.prefilled {
			longPrefills++
		}
	}
	cold, warm := modelLimits.Cold, modelLimits.Warm
	if ramp := m.rampStreams(); all.Streams > ramp {
		m.t.Fatalf("%d streams after %d completions, at most %d are allowed", all.Streams, m.completions, ramp)
	}
	if m.completions == 0 && charge > cold.Tokens {
		m.t.Fatalf("%d tokens on a cold engine", charge)
	}
	if all.Tokens > warm.Tokens {
		m.t.Fatalf("%d tokens exceed the memory", all.Tokens)
	}
	if longer.Streams > warm.Streams*3/4 || longer.Tokens > warm.Tokens*3/4 {
		m.t.Fatalf("longer prompts use the short share: %+v", longer)
	}
	if longPrefills > modelLimits.LongPrefills {
		m.t.Fatalf("%d long prefills", longPrefills)
	}
}

// anySize makes burst draw a size for each request.
const anySize = 0

// burst reserves and dispatches requests of one size. If end is true, each ends at once, and some of the reports about it
// are delayed; otherwise they keep running.
func (m *model) burst(count int, prompt int64, end bool) {
	for range count {
		size := prompt
		if size == anySize {
			size = m.prompt()
		}
		m.reserveSize(size)
		m.dispatch()
		m.check()
		if !end {
			continue
		}
		m.finishPrefill()
		m.finish()
		for len(m.reports) > 0 && m.draw("late", 4) > 0 {
			m.account.Report(m.now, m.reports[0])
			m.reports = m.reports[1:]
		}
	}
}

func (m *model) runOne() { m.burst(1, anySize, true) }

// runSeveral dispatches several requests and lets them run.
func (m *model) runSeveral() {
	m.burst(4, anySize, false)
	m.sampleNow()
}

// warmUp completes the work of a whole ramp, unless a sample that is not warm is drawn.
func (m *model) warmUp() {
	for range 40 {
		m.burst(1, 500, true)
		m.sampleNow()
	}
}

// fill starts requests of one size until the endpoint grants no more of them.
func (m *model) fill() {
	prompt := m.prompt()
	for range modelLimits.Warm.Streams {
		m.burst(1, prompt, false)
		m.sampleNow()
	}
}

// dispatchLate delays dispatches while engine reports arrive and further requests follow. The owner may change first.
func (m *model) dispatchLate() {
	for range 4 {
		m.reserve()
	}
	if m.draw("change", 1) == 1 {
		m.changeOwner()
	}
	for range 6 {
		m.advance(500)
		m.sampleNow()
		m.reserve()
		m.check()
		if m.draw("late dispatch", 2) == 0 {
			m.dispatch()
		}
	}
}

// cancelRunning cancels requests that the engine still runs, some before it lists them, and then starts others.
func (m *model) cancelRunning() {
	m.burst(3, anySize, false)
	for range 3 {
		m.cancel()
	}
	m.deliverAll()
	m.sampleNow()
	m.runSeveral()
}

// restartAfterLoad finishes all requests, restarts the engine, and delivers the reports of the ends only after the first
// engine report of the new run.
func (m *model) restartAfterLoad() {
	m.runSeveral()
	for range modelLimits.Warm.Streams {
		m.finish()
	}
	m.restartEngine()
	m.sampleNow()
	m.deliverAll()
	m.runSeveral()
	m.runSeveral()
}

func (m *model) deliverAll() {
	for _, report := range m.reports {
		m.account.Report(m.now, report)
	}
	m.reports = nil
}

// sampleNow takes a sample of the engine's load and delivers it without delay, unless an older one is drawn.
func (m *model) sampleNow() {
	m.advance(300)
	m.takeSample()
	m.deliverSample()
}

// endAcquisition lets the time pass in which a new owner grants nothing.
func (m *model) endAcquisition() {
	m.outOfService = false
	m.account.SetOutOfService(false)
	for range 3 {
		m.now = m.now.Add(500 * time.Millisecond)
		m.reportHeld()
		m.sampleNow()
	}
}

// run does random actions, on average one fault for ordinaryPerFault ordinary ones. That ratio is drawn for each run: if
// faults were always frequent, no run would leave the first step of the ramp.
func (m *model) run(steps int) {
	ordinary := []func(){
		m.reserve, m.reserve, m.reserve, m.reserve, m.dispatch, m.dispatch, m.runOne, m.runOne, m.runOne, m.sampleNow,
		m.sampleNow, m.takeSample, m.deliverSample, m.deliverReport, m.deliverReport, m.finishPrefill, m.finish, m.finish,
		m.reportHeld, m.runOne, m.runOne, m.runSeveral, m.runSeveral, m.runSeveral, m.dispatch, m.fill, m.fill,
	}
	faults := []func(){
		m.dropUnused, m.cancel, m.restartEngine, m.killGateway, m.changeOwner, m.cancelOrphans, m.endAcquisition,
		m.endAcquisition, m.warmUp, m.dispatchLate, m.dispatchLate, m.cancelRunning, m.restartAfterLoad,
		func() { m.advance(400) },
		func() { m.advance(4_000) },
		func() { m.account.ReportFailed(m.now) },
		func() {
			m.outOfService = m.draw("out", 3) == 0
			m.account.SetOutOfService(m.outOfService)
		},
	}
	ordinaryPerFault := []int{2, 10, 60}[m.draw("calm", 2)]
	m.endAcquisition()
	if m.draw("warm up", 1) == 1 {
		m.warmUp()
	}
	for range steps {
		if m.draw("fault", ordinaryPerFault) == ordinaryPerFault {
			faults[m.draw("action", len(faults)-1)]()
		} else {
			ordinary[m.draw("action", len(ordinary)-1)]()
		}
		m.check()
	}
}

// Guards against an owner that overloads a cold engine, grants memory twice, lets long prompts use the capacity reserved
// for short ones or grants while out of service. Reports are lost, late, repeated and out of order, and the engine, the
// gateways and the owner restart.
func TestBoundsHoldUnderFaults(t *testing.T) {
	testkit.FixRapidSeed()
	rapid.Check(t, func(t *rapid.T) {
		newModel(t).run(50 + uniform(t, "steps", 350))
	})
}

// Guards against reservations that are never released when a gateway dies or its reports get lost.
func TestReservationsEndWithoutGateways(t *testing.T) {
	testkit.FixRapidSeed()
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.run(20 + uniform(t, "steps", 150))
		m.account.SetOutOfService(false)
		for range 16 {
			m.now = m.now.Add(time.Second)
			m.takeSample()
			last := m.samples[len(m.samples)-1]
			m.account.EngineReport(m.now, last.report, last.at)
			m.cancelOrphans()
		}
		m.account.ReportFailed(m.now)
		m.account.ReportFailed(m.now)
		summary := m.account.Summary(m.now)
		free := config.Limit{Streams: summary.FreeStreams, Tokens: summary.FreeTokens}
		if free != modelLimits.Cold {
			t.Fatalf("free %+v, want the whole cold limit", free)
		}
	})
}

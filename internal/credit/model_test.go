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

const gateways = 8

var prompts = []int64{100, 500, 2_000, 8_000, 8_000, 9_000, 12_000, 30_000, 90_000, 101_000, 150_000}

var modelLimits = credit.Limits{
	Cold:         config.Limit{Streams: 3, Tokens: 40_000},
	Warm:         config.Limit{Streams: 16, Tokens: 400_000},
	LongPrefills: 1,
	ShortShare:   0.25,
}

// job is a granted request in the model: a credit until it is handed over, then a stream on the engine.
type job struct {
	id             string
	gateway        int
	incarnation    int64
	sent           time.Time
	prompt, output int64
	running        bool
	listedFrom     time.Time
	prefilled      bool
	// unheld is true once the gateway has ended the request or is dead, while the engine may still run it.
	unheld bool
}

type snapshot struct {
	report engine.LoadReport
	at     time.Time
}

// model is the truth about one engine and eight gateways next to the owner's account. Messages wait in a queue from which
// they are delivered late, twice, out of order or never.
type model struct {
	t            *rapid.T
	now          time.Time
	account      *credit.Account
	outOfService bool
	jobs         []*job
	incarnations [gateways]int64
	starts       int
	// completions and completedTokens describe the present run of the engine.
	completions     int
	completedTokens int64
	// knownStart is the newest run of the engine that the present account has a report of.
	knownStart int
	snapshots  []snapshot
	queue      []peer.CreditReport
	sequence   int
	teams      int
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.Unix(1_000_000, 0), teams: 1 + 2*uniform(t, "teams", 1)}
	m.acquire()
	return m
}

// uniform draws from 0 to most. rapid's own integers favour small values, which would make most actions rare.
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

func (m *model) pass(most int) {
	m.now = m.now.Add(time.Duration(m.draw("ms", most)) * time.Millisecond)
}

// acquire replaces the owner: the new account knows nothing.
func (m *model) acquire() {
	m.account = credit.New(credit.Options{Endpoint: "e", Owner: "o", Limits: modelLimits, AcquiredAt: m.now})
	m.account.SetOutOfService(m.outOfService)
	m.knownStart = -1
}

func (m *model) prompt() int64 { return prompts[m.draw("prompt", len(prompts)-1)] }

func (m *model) ask() { m.request(m.prompt()) }

func (m *model) request(prompt int64) {
	gateway := m.draw("gateway", gateways-1)
	m.sequence++
	j := &job{
		id: fmt.Sprint("r", m.sequence), gateway: gateway, incarnation: m.incarnations[gateway], prompt: prompt,
		output: int64(m.draw("output", 4_000)), sent: m.now.Add(-time.Duration(m.draw("delay", 400)) * time.Millisecond),
	}
	ask := peer.CreditRequest{
		RequestID: j.id, Endpoint: "e", Team: fmt.Sprint("t", m.draw("team", m.teams-1)), PromptTokens: prompt,
		OutputTokens: j.output, BudgetLeft: time.Minute,
	}
	if !m.account.Reserve(m.now, ask, fmt.Sprint("g", gateway), j.incarnation).Granted {
		return
	}
	if m.outOfService {
		m.t.Fatalf("granted %s while out of service", j.id)
	}
	if m.knownStart == m.starts && m.completions == 0 && prompt+j.output > modelLimits.Cold.Tokens {
		m.t.Fatalf("granted %d tokens on an engine that is known to be cold", prompt+j.output)
	}
	m.jobs = append(m.jobs, j)
}

// pick returns a job for which the condition holds, or nil.
func (m *model) pick(condition func(*job) bool) *job {
	fit := slices.DeleteFunc(slices.Clone(m.jobs), func(j *job) bool { return !condition(j) })
	if len(fit) == 0 {
		return nil
	}
	return fit[m.draw("job", len(fit)-1)]
}

func (m *model) remove(gone *job) {
	m.jobs = slices.DeleteFunc(m.jobs, func(j *job) bool { return j == gone })
}

func (m *model) send(j *job, state peer.ReportState) {
	if j.unheld {
		return
	}
	m.queue = append(m.queue, peer.CreditReport{
		Gateway: fmt.Sprint("g", j.gateway), Incarnation: j.incarnation,
		Items: []peer.CreditReportItem{{
			RequestID: j.id, Endpoint: "e", State: state, PromptTokens: j.prompt, OutputTokens: j.output,
		}},
	})
}

// usable tells whether the credit can still be handed over, with a gateway clock that runs 5% slow.
func (m *model) usable(j *job) bool { return !j.running && m.now.Sub(j.sent) < 1050*time.Millisecond }

func (m *model) handOver() {
	if j := m.pick(m.usable); j != nil {
		j.running = true
		j.listedFrom = m.now.Add(time.Duration(m.draw("listing", 240)) * time.Millisecond)
		m.send(j, peer.ReportStarted)
	}
}

func (m *model) drop() {
	if j := m.pick(func(j *job) bool { return !j.running }); j != nil {
		m.send(j, peer.ReportUnused)
		m.remove(j)
	}
}

func (m *model) prefill() {
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

// cancel ends a request at its gateway; the engine runs on because the cancellation was lost.
func (m *model) cancel() {
	if j := m.pick(func(j *job) bool { return j.running }); j != nil {
		m.send(j, []peer.ReportState{peer.ReportCancelled, peer.ReportFailed}[m.draw("failed", 1)])
		j.unheld = true
	}
}

func (m *model) restartEngine() {
	m.starts++
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
	gateway := m.draw("gateway", gateways-1)
	if m.draw("told", 1) == 1 {
		m.account.GatewayDead(fmt.Sprint("g", gateway), m.incarnations[gateway])
	}
	m.incarnations[gateway]++
	for _, j := range m.jobs {
		j.unheld = j.unheld || j.gateway == gateway
	}
	m.jobs = slices.DeleteFunc(m.jobs, func(j *job) bool { return !j.running && j.gateway == gateway })
}

func (m *model) held() {
	for _, j := range m.jobs {
		m.send(j, peer.ReportHeld)
	}
}

func (m *model) deliver() {
	if len(m.queue) == 0 {
		return
	}
	i := m.draw("message", min(len(m.queue)-1, 3))
	fate := m.draw("fate", 9)
	if fate > 0 {
		m.account.Report(m.now, m.queue[i])
	}
	if fate < 8 {
		m.queue = append(m.queue[:i], m.queue[i+1:]...)
	}
}

func (m *model) sample() {
	report := engine.LoadReport{
		StartID: fmt.Sprint("s", m.starts), AtMS: m.now.UnixMilli(), MemoryTokens: modelLimits.Warm.Tokens,
		Warm: m.draw("warm", 59) > 0,
	}
	for _, j := range m.jobs {
		if !j.running || j.listedFrom.After(m.now) {
			continue
		}
		phase := engine.PhasePrefill
		if j.prefilled {
			phase = engine.PhaseDecode
		}
		report.Streams = append(report.Streams, engine.Stream{ID: j.id, Tokens: j.prompt + j.output, Phase: phase})
		report.UsedTokens += j.prompt + j.output
	}
	m.snapshots = append(m.snapshots, snapshot{report, m.now})
}

// report delivers one of the last four samples, so that reports lag, repeat and arrive out of order.
func (m *model) report() {
	if len(m.snapshots) == 0 {
		return
	}
	s := m.snapshots[max(len(m.snapshots)-1-m.draw("lag", 3), 0)]
	m.account.EngineReport(m.now, s.report, s.at)
	if s.report.StartID == fmt.Sprint("s", m.starts) {
		m.knownStart = m.starts
	}
}

func (m *model) release() {
	for _, id := range m.account.Orphans(m.now) {
		if j := m.pick(func(j *job) bool { return j.id == id }); j != nil {
			m.remove(j)
		}
	}
}

// ramp returns the streams that the work done by the present run of the engine allows. Step n needs completed work of
// 2^n - 1 times the cold limit, some steps in streams and some in tokens.
func (m *model) ramp() int {
	done := float64(m.completions)/float64(modelLimits.Cold.Streams) +
		float64(m.completedTokens)/float64(modelLimits.Cold.Tokens)
	streams, steps := modelLimits.Cold.Streams, 2.0
	for done >= steps-1 && streams < modelLimits.Warm.Streams {
		streams, steps = streams*2, steps*2
	}
	return min(streams, modelLimits.Warm.Streams)
}

// check compares the truth with the bounds, at every moment: credits that may still be used count like streams.
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
	if ramp := m.ramp(); all.Streams > ramp {
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

// burst asks for requests of one size and hands them over. They run on, or end with their last messages partly delayed.
func (m *model) burst(count int, prompt int64, end bool) {
	for range count {
		size := prompt
		if size == anySize {
			size = m.prompt()
		}
		m.request(size)
		m.handOver()
		m.check()
		if !end {
			continue
		}
		m.prefill()
		m.finish()
		for len(m.queue) > 0 && m.draw("late", 4) > 0 {
			m.account.Report(m.now, m.queue[0])
			m.queue = m.queue[1:]
		}
	}
}

func (m *model) cycle() { m.burst(1, anySize, true) }

// load hands several requests over and lets them run.
func (m *model) load() {
	m.burst(4, anySize, false)
	m.observe()
}

// warmUp does the work of a whole ramp unless a fault is drawn on the way.
func (m *model) warmUp() {
	for range 40 {
		m.burst(1, 500, true)
		m.observe()
	}
}

// fill lets requests of one size run until the endpoint takes no more of them.
func (m *model) fill() {
	prompt := m.prompt()
	for range modelLimits.Warm.Streams {
		m.burst(1, prompt, false)
		m.observe()
	}
}

// dawdle hands credits over as late as possible while reports arrive and more asks follow. The owner may change first.
func (m *model) dawdle() {
	for range 4 {
		m.ask()
	}
	if m.draw("change", 1) == 1 {
		m.acquire()
	}
	for range 6 {
		m.pass(500)
		m.observe()
		m.ask()
		m.check()
		if m.draw("hand over", 2) == 0 {
			m.handOver()
		}
	}
}

// abandon cancels requests that the engine goes on with, some before it lists them, and asks for as many others.
func (m *model) abandon() {
	m.burst(3, anySize, false)
	for range 3 {
		m.cancel()
	}
	m.deliverAll()
	m.observe()
	m.load()
}

// restart lets a run of the engine end all its work before it stops, and delivers the ends after the new run's report.
func (m *model) restart() {
	m.load()
	for range modelLimits.Warm.Streams {
		m.finish()
	}
	m.restartEngine()
	m.observe()
	m.deliverAll()
	m.load()
	m.load()
}

func (m *model) deliverAll() {
	for _, report := range m.queue {
		m.account.Report(m.now, report)
	}
	m.queue = nil
}

// observe makes and delivers a sample without delay.
func (m *model) observe() {
	m.pass(300)
	m.sample()
	m.report()
}

// settle passes the time in which a new owner grants nothing.
func (m *model) settle() {
	m.outOfService = false
	m.account.SetOutOfService(false)
	for range 3 {
		m.now = m.now.Add(500 * time.Millisecond)
		m.held()
		m.observe()
	}
}

// run does random steps. Faults are drawn once for calm ordinary actions, with calm drawn for each run: with frequent
// faults only, no run would leave the first step.
func (m *model) run(steps int) {
	ordinary := []func(){
		m.ask, m.ask, m.ask, m.ask, m.handOver, m.handOver, m.cycle, m.cycle, m.cycle, m.observe, m.observe, m.sample,
		m.report, m.deliver, m.deliver, m.prefill, m.finish, m.finish, m.held, m.cycle, m.cycle, m.load, m.load,
		m.load, m.handOver, m.fill, m.fill,
	}
	faults := []func(){
		m.drop, m.cancel, m.restartEngine, m.killGateway, m.acquire, m.release, m.settle, m.settle, m.warmUp, m.dawdle,
		m.dawdle, m.abandon, m.restart,
		func() { m.pass(400) },
		func() { m.pass(4_000) },
		func() { m.account.ReportFailed(m.now) },
		func() {
			m.outOfService = m.draw("out", 3) == 0
			m.account.SetOutOfService(m.outOfService)
		},
	}
	calm := []int{2, 10, 60}[m.draw("calm", 2)]
	m.settle()
	if m.draw("warm up", 1) == 1 {
		m.warmUp()
	}
	for range steps {
		if m.draw("fault", calm) == calm {
			faults[m.draw("action", len(faults)-1)]()
		} else {
			ordinary[m.draw("action", len(ordinary)-1)]()
		}
		m.check()
	}
}

// Guards against an owner that overloads a cold engine, grants memory twice, lets long prompts use the short share or
// grants while out of service, whatever gets lost, late, repeated, replaced or restarted.
func TestBoundsHoldUnderFaults(t *testing.T) {
	testkit.FixRapidSeed()
	rapid.Check(t, func(t *rapid.T) {
		newModel(t).run(50 + uniform(t, "steps", 350))
	})
}

// Guards against reservations that leak when a gateway dies or its reports get lost.
func TestReservationsEndWithoutGateways(t *testing.T) {
	testkit.FixRapidSeed()
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.run(20 + uniform(t, "steps", 150))
		m.account.SetOutOfService(false)
		for range 16 {
			m.now = m.now.Add(time.Second)
			m.sample()
			last := m.snapshots[len(m.snapshots)-1]
			m.account.EngineReport(m.now, last.report, last.at)
			m.release()
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

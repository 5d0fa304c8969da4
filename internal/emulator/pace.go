package emulator

import (
	"fmt"
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/limit"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/pace"
	"github.com/acacialift/acacialift/internal/placement"
)

// TroubleKind names what happens to an endpoint.
type TroubleKind int

// The kinds of trouble.
const (
	// Slow makes an endpoint slower by a factor for a time.
	Slow TroubleKind = iota
	// Away takes an endpoint out of service for a time. It completes its requests, and a new incarnation then starts cold.
	Away
)

// Trouble is what happens to one endpoint.
type Trouble struct {
	Kind     TroubleKind
	Endpoint int
	At, For  time.Duration
	// Factor is the factor on the times of a slow endpoint.
	Factor float64
}

// PaceOptions describes the troubles of endpoints, and whether placement takes their pace into account.
type PaceOptions struct {
	Pace     bool
	Troubles []Trouble
	// PacketLoss is the fraction of first events that arrive lostPacketDelay late.
	PacketLoss float64
	// ColdTime is the length of a cold start, ColdRate the requests per second that are allowed in it.
	ColdTime time.Duration
	ColdRate float64
}

const (
	// lostPacketDelay is the time after which a lost packet is sent again.
	lostPacketDelay = 200 * time.Millisecond
	// coldFactor and coldSlack are the bounds of cold starts that deployments set.
	coldFactor, coldSlack = 1.5, 5
)

// Recovery counts the requests that were sent to an endpoint after it had recovered, in three periods: the first half second, up
// to two seconds and up to four. Mean counts those that the other endpoints of service got on average.
type Recovery struct {
	Kind TroubleKind
	Got  [3]int
	Mean [3]float64
}

// PaceResult holds what shows how the pace of endpoints was taken into account.
type PaceResult struct {
	// OnSlow counts the requests that were sent to an endpoint while it was slow, as primary or helper, and OnSlowLate those
	// of them whose first event was late.
	OnSlow, OnSlowLate int
	// FalselySlow counts the changes of healthy endpoints to slow, Found the changes of slow ones, and FoundAfter sums the
	// time from the beginning of the trouble.
	FalselySlow, Found int
	FoundAfter         time.Duration
	Recoveries         []Recovery
	// MaxCold is the largest number of requests to a cold endpoint within a second.
	MaxCold int
}

// dispatched is a request that was sent to an endpoint.
type dispatched struct {
	at       time.Duration
	endpoint int
}

// paceState is the state of a run that concerns the pace of endpoints.
type paceState struct {
	trackers   []*pace.Tracker
	cold       []*limit.FleetColdLimiter
	dispatches []dispatched
	coldTimes  map[*endpoint][]time.Time
	ends       []Trouble
	// index maps the key of each incarnation to the index of its endpoint.
	index map[uint32]int
}

// startPace creates the trackers, one for each scheduler or instance, and schedules the troubles.
func (r *run) startPace() {
	r.pace.coldTimes, r.pace.index = make(map[*endpoint][]time.Time), make(map[uint32]int)
	for i, e := range r.endpoints {
		r.pace.index[e.Key()] = i
	}
	for range max(len(r.schedulers), len(r.trackers)) {
		if r.options.Pace {
			r.pace.trackers = append(r.pace.trackers, pace.NewTracker())
		}
		r.pace.cold = append(r.pace.cold, limit.NewFleetColdLimiter(coldFactor, coldSlack, func(time.Time) bool { return true }))
	}
	for _, trouble := range r.options.Troubles {
		r.after(trouble.At, func() { r.beginTrouble(trouble) })
		r.after(trouble.At+trouble.For, func() { r.endTrouble(trouble) })
	}
	if r.options.Pace {
		r.assessAll()
	}
}

// assessAll assesses all endpoints once a second, as instances do.
func (r *run) assessAll() {
	for i, tracker := range r.pace.trackers {
		for _, e := range r.endpoints {
			if len(r.schedulers) == 0 || i < len(r.schedulers) {
				tracker.Assess(e.Key(), r.condition(e), r.virtualTime())
			}
		}
		r.countChanges(tracker.TakeChanges())
	}
	if r.now < r.options.Load.Length {
		r.after(time.Second, r.assessAll)
	}
}

func (r *run) countChanges(changes []pace.Change) {
	for _, c := range changes {
		if c.Event != pace.BecameSlow {
			continue
		}
		e := r.endpoints[r.pace.index[c.Endpoint]]
		if e.slowSince > 0 {
			if e.found {
				continue
			}
			e.found = true
			r.result.Pace.Found++
			r.result.Pace.FoundAfter += c.At.Sub(time.Unix(0, 0)) - e.slowSince
			continue
		}
		if r.now-e.slowUntil > falseAfter {
			r.result.Pace.FalselySlow++
		}
	}
}

// falseAfter is the time since the end of a trouble from which it is an error to find the endpoint slow.
const falseAfter = 2 * time.Second

func (r *run) condition(e *endpoint) pace.Condition {
	return pace.Condition{Slots: r.options.Engine.Slots, Cold: e.IsCold(r.virtualTime())}
}

func (r *run) beginTrouble(t Trouble) {
	e := r.endpoints[t.Endpoint]
	switch t.Kind {
	case Slow:
		e.slowdown, e.slowSince, e.found = t.Factor, r.now, false
	case Away:
		e.away = true
	}
}

func (r *run) endTrouble(t Trouble) {
	old := r.endpoints[t.Endpoint]
	if t.Kind == Slow {
		old.slowdown, old.slowSince, old.slowUntil = 1, 0, r.now
		r.after(0, func() { r.pace.ends = append(r.pace.ends, Trouble{Kind: Slow, Endpoint: t.Endpoint, At: r.now}) })
		return
	}
	e := &endpoint{
		Endpoint: &fleet.Endpoint{
			ID: old.ID, Started: old.Started + 1, Slots: old.Slots, ColdUntil: r.virtualTime().Add(r.options.ColdTime),
		},
		engine: old.engine, chunk: old.chunk,
	}
	r.endpoints[t.Endpoint], r.byEndpoint[e.Endpoint], r.pace.index[e.Key()] = e, e, t.Endpoint
	r.pace.ends = append(r.pace.ends, Trouble{Kind: Away, Endpoint: t.Endpoint, At: r.now + r.options.ColdTime})
}

// setPace sets what is known of the pace of a candidate. It returns false if the endpoint must not get requests now.
func (r *run) setPace(c *placement.Candidate, e *endpoint, holder int) bool {
	if e.away {
		return false
	}
	c.Cold = e.IsCold(r.virtualTime())
	if r.options.Pace {
		c.SetPace(r.pace.trackers[holder].Assess(e.Key(), r.condition(e), r.virtualTime()))
	}
	return !c.Cold || r.pace.cold[holder].Allows(e.Key(), r.options.ColdRate, r.virtualTime())
}

// observeDispatch records that a request is sent to its endpoints.
func (r *run) observeDispatch(call *request, holder int) {
	primary := call.primary.Key()
	call.onSlow = call.primary.slowdown > 1
	for _, h := range call.choice.Helpers {
		call.onSlow = call.onSlow || r.byEndpoint[h].slowdown > 1
	}
	if r.options.Pace {
		call.paced, call.pacedAt = r.pace.trackers[holder].Place(call.choice.Shares(), call.choice.Part, len(r.schedulers) > 0, r.virtualTime()), r.now
	}
	r.pace.dispatches = append(r.pace.dispatches, dispatched{at: r.now, endpoint: r.pace.index[primary]})
	if call.primary.IsCold(r.virtualTime()) {
		r.pace.cold[holder].Take(primary, r.options.ColdRate, r.virtualTime())
		r.pace.coldTimes[call.primary] = append(r.pace.coldTimes[call.primary], r.virtualTime())
	}
	if call.onSlow {
		r.result.Pace.OnSlow++
	}
}

// observeFirstEvent records the first event of a request.
func (r *run) observeFirstEvent(call *request) {
	delay := networkRoundTrip / 2
	if r.options.PacketLoss > 0 && r.random.Float64() < r.options.PacketLoss {
		delay += lostPacketDelay
	}
	call.paced.FirstEvent(r.now-call.pacedAt+delay, r.virtualTime())
	if call.onSlow && call.firstEventAt-call.at+networkRoundTrip > call.kind.Objective {
		r.result.Pace.OnSlowLate++
	}
}

// observeEvent records an event of a stream.
func (r *run) observeEvent(call *request) {
	call.pauses.Event(r.virtualTime())
	if call.pauses.ReportDue(r.options.Engine.PassTime(1, call.tokens), r.virtualTime()) {
		r.reportPauses(call)
	}
}

func (r *run) reportPauses(call *request) {
	totals, _ := r.trackerOf(r.holder(call)).Totals(r.virtualTime())
	e := totals.Entries[call.primary.Key()]
	call.paced.Pauses(r.options.Engine.PassTime(max(e.Streams, 1), e.UsedTokens), call.pauses.Low(), r.virtualTime())
}

// observeEnd records the end of a stream.
func (r *run) observeEnd(call *request) {
	r.reportPauses(call)
	call.paced.End(r.virtualTime())
}

// holder returns the index of the scheduler or instance that places a request.
func (r *run) holder(call *request) int {
	if len(r.schedulers) > 0 {
		return call.shard
	}
	return call.instance
}

// trackerOf returns the load tracker of a scheduler or, without schedulers, of an instance.
func (r *run) trackerOf(holder int) *load.Tracker {
	if len(r.schedulers) > 0 {
		return r.schedulers[holder]
	}
	return r.trackers[holder]
}

// summarizePace computes the recoveries from the dispatched requests.
func (r *run) summarizePace() {
	periods := [4]time.Duration{0, 500 * time.Millisecond, 2 * time.Second, 4 * time.Second}
	for _, end := range r.pace.ends {
		if end.At+periods[3] > r.options.Load.Length {
			continue
		}
		recovery := Recovery{Kind: end.Kind}
		for _, d := range r.pace.dispatches {
			for i := range recovery.Got {
				if d.at-end.At < periods[i] || d.at-end.At >= periods[i+1] {
					continue
				}
				if d.endpoint == end.Endpoint {
					recovery.Got[i]++
				} else {
					recovery.Mean[i] += 1 / float64(len(r.endpoints)-1)
				}
			}
		}
		r.result.Pace.Recoveries = append(r.result.Pace.Recoveries, recovery)
	}
	for _, times := range r.pace.coldTimes {
		for i := range times {
			count := 0
			for _, at := range times[i:] {
				if at.Sub(times[i]) < time.Second {
					count++
				}
			}
			r.result.Pace.MaxCold = max(r.result.Pace.MaxCold, count)
		}
	}
}

// add adds the counts of another run.
func (p *PaceResult) add(other *PaceResult) {
	p.OnSlow += other.OnSlow
	p.OnSlowLate += other.OnSlowLate
	p.FalselySlow += other.FalselySlow
	p.Found += other.Found
	p.FoundAfter += other.FoundAfter
	p.Recoveries = append(p.Recoveries, other.Recoveries...)
	p.MaxCold = max(p.MaxCold, other.MaxCold)
}

// String implements fmt.Stringer.
func (p *PaceResult) String() string {
	var got [2][3]int
	var mean [2][3]float64
	for _, recovery := range p.Recoveries {
		for i := range recovery.Got {
			got[recovery.Kind][i] += recovery.Got[i]
			mean[recovery.Kind][i] += recovery.Mean[i]
		}
	}
	after := time.Duration(0)
	if p.Found > 0 {
		after = (p.FoundAfter / time.Duration(p.Found)).Round(time.Millisecond)
	}
	return fmt.Sprintf("on slow %d, late %d; found %d after %s, falsely %d; after slow got %v mean %.0f; after cold got %v mean %.0f; max cold %d",
		p.OnSlow, p.OnSlowLate, p.Found, after, p.FalselySlow, got[Slow], mean[Slow], got[Away], mean[Away], p.MaxCold)
}

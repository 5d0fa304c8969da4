package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/returntimes"
)

// Outage is a period in which no instance can check keys, so that all requests are refused on arrival.
type Outage struct {
	From, To time.Duration
}

const (
	// outageDelay is the time told during an outage without return times.
	outageDelay = 500 * time.Millisecond
	// returnBucket is the width of the buckets of ReturnResult.
	returnBucket = 100 * time.Millisecond
	// returnStream selects the random numbers of return times.
	returnStream = 3
)

// ReturnResult holds what became of refused requests.
type ReturnResult struct {
	// Refused counts the requests whose first attempt was refused, Returned those of them that came back, and RefusedAgain
	// those that were refused again.
	Refused, Returned, RefusedAgain int
	// ReturnsPer counts the returns in each bucket of 100 ms, and EndsPer the short prompts that ended in it.
	ReturnsPer, EndsPer []int
	// Errors holds the first moment with capacity less the time told, where a schedule has observed it.
	Errors []time.Duration
}

// returnObserver adds the errors of all schedules to a result.
type returnObserver struct{ result *ReturnResult }

// ReturnError implements returntimes.Observer.
func (o returnObserver) ReturnError(d time.Duration) { o.result.Errors = append(o.result.Errors, d) }

// Returned implements returntimes.Observer. The run counts returns itself.
func (o returnObserver) Returned(bool, bool) {}

// NotReturned implements returntimes.Observer.
func (o returnObserver) NotReturned() {}

// returnTimes holds the schedules of return times: one for each scheduler, or one for each instance if there are none.
type returnTimes struct {
	random    *rand.Rand
	schedules []*returntimes.Schedule
}

func (r *run) newReturnTimes() returnTimes {
	t := returnTimes{random: rand.New(rand.NewPCG(r.options.Seed, returnStream))}
	count := r.options.Shards
	if count == 0 {
		count = r.options.Instances
	}
	if !r.options.ReturnTimes {
		count = 0
	}
	for range count {
		t.schedules = append(t.schedules, returntimes.New(returntimes.Options{
			Random: t.random.Float64, Observer: returnObserver{&r.result.Returns},
		}))
	}
	return t
}

// schedule returns the schedule of the shard or the instance that places a request; nil if there are no return times.
func (r *run) schedule(call *request) *returntimes.Schedule {
	switch {
	case len(r.returns.schedules) == 0:
		return nil
	case len(r.schedulers) > 0:
		return r.returns.schedules[call.shard]
	}
	return r.returns.schedules[call.instance]
}

// firstShard returns the shard to which a request is sent first. With return times its prompt selects the shard.
func (r *run) firstShard(call *request) int {
	if len(r.returns.schedules) > 0 {
		return int(call.prompt) % len(r.schedulers)
	}
	return r.random.IntN(len(r.schedulers))
}

// work returns what a request needs of the capacity of its class.
func (r *run) work(call *request) returntimes.Work {
	e := &r.options.Engine
	if placement.IsShort(e, placement.Need{Tokens: call.tokens}) {
		return returntimes.Work{Class: returntimes.Short}
	}
	return returntimes.Work{Class: returntimes.Long, EngineTime: e.PrefillTime(call.tokens)}
}

// beginReturn looks for the place of a request in the schedule.
func (r *run) beginReturn(call *request) {
	s := r.schedule(call)
	if s == nil {
		return
	}
	call.precedes = s.Arrived(call.prompt, r.virtualTime()) && s.MayPrecede(r.work(call), r.virtualTime())
}

// returning reports whether a request goes before newcomers of a wait queue.
func (r *run) returning(call *request) bool {
	if len(r.returns.schedules) == 0 {
		return call.retried
	}
	return call.precedes
}

// leaveRoom makes a newcomer with a short prompt leave room for the callers that are due.
func (r *run) leaveRoom(call *request, need *placement.Need) {
	if s := r.schedule(call); s != nil && !call.precedes && r.work(call).Class == returntimes.Short {
		need.LeaveRoom(s.Due(call.kind.Rank, r.virtualTime()))
	}
}

// tellReturn replaces the delay of a refusal by the time at which the caller is to return, and returns the delay.
func (r *run) tellReturn(call *request, delay, remaining time.Duration) time.Duration {
	s := r.schedule(call)
	if s == nil {
		return delay
	}
	s.ObserveRefused(r.work(call), r.virtualTime())
	return s.Assign(returntimes.Return{
		Caller: returntimes.Caller{Prompt: call.prompt, Rank: call.kind.Rank, First: time.Unix(0, int64(call.at))},
		Work:   r.work(call), Earliest: delay, Latest: returntimes.Latest(remaining), Final: call.retried,
	}, r.virtualTime())
}

// observePlaced records that a request was placed.
func (r *run) observePlaced(call *request) {
	if s := r.schedule(call); s != nil {
		s.ObservePlaced(r.work(call), call.prompt, r.virtualTime())
	}
}

// observeWorkEnded records that the work of a class on a request has ended: that of a short prompt with its response, that of a
// long one with its prefill.
func (r *run) observeWorkEnded(call *request, class returntimes.Class) {
	work := r.work(call)
	if work.Class != class {
		return
	}
	if class == returntimes.Short {
		countIn(&r.result.Returns.EndsPer, r.now)
	}
	if s := r.schedule(call); s != nil {
		s.ObserveEnd(work, r.virtualTime())
	}
}

// countReturn counts the first refusal of a request and its return after a delay, or its second refusal.
func (r *run) countReturn(call *request, returns bool, delay time.Duration) {
	result := &r.result.Returns
	if call.retried {
		result.RefusedAgain++
		return
	}
	result.Refused++
	if returns {
		result.Returned++
		countIn(&result.ReturnsPer, r.now+delay)
	}
}

func countIn(buckets *[]int, at time.Duration) {
	for int(at/returnBucket) >= len(*buckets) {
		*buckets = append(*buckets, 0)
	}
	(*buckets)[at/returnBucket]++
}

// refuseInOutage refuses a request that arrives during an outage. It returns false if there is none.
func (r *run) refuseInOutage(call *request) bool {
	if r.now < r.options.Outage.From || r.now >= r.options.Outage.To {
		return false
	}
	remaining := call.kind.TimeLimit - (r.now - call.at)
	delay := outageDelay
	if r.options.ReturnTimes {
		delay = returntimes.DuringOutage(remaining, r.returns.random.Float64())
	}
	r.returnAfter(call, "configuration_unconfirmed", delay, remaining)
	return true
}

// Surge is a fleet with too many short prompts for ten seconds: demand swings around the capacity in waves of 2.5 s.
func Surge() Pattern {
	p := LargeFleet()
	p.Name, p.Endpoints, p.Instances = "surge", 25, 26
	p.Load = Load{
		Kinds: standardKinds(100, 2, 0.1), Length: surgeLength,
		Phases: []Phase{{From: 2 * time.Second, To: 12 * time.Second, Factors: map[string]float64{"short": 1.5}}},
		Waves:  []Wave{{Amplitude: 0.4, Period: 2500 * time.Millisecond}},
	}
	return p
}

const surgeLength = 16 * time.Second

// refuseOrRetry retries a refused request once, if the advised delay is at most a third of its remaining time. Otherwise it
// counts the request as refused.
func (r *run) refuseOrRetry(call *request, refusal *placement.Refusal) {
	remaining := call.kind.TimeLimit - (r.now - call.at)
	// The scheduler of the first shard tells the return time.
	call.shard = call.home
	r.returnAfter(call, string(refusal.Reason), r.tellReturn(call, refusal.RetryAfter, remaining), remaining)
}

// returnAfter lets a refused request return after a delay if its caller follows that delay.
func (r *run) returnAfter(call *request, reason string, delay, remaining time.Duration) {
	r.countRefusal(call, reason)
	r.countReturn(call, delay <= remaining/3, delay)
	if call.retried {
		r.kindResult(call.kind).RefusedAfterRetry++
	} else {
		r.kindResult(call.kind).Refused++
	}
	if call.retriesAtOnce < r.options.Load.RetriesAtOnce[call.team] && remaining > 0 {
		call.retriesAtOnce++
		call.retried = true
		r.after(networkRoundTrip, func() { r.arrive(call) })
		return
	}
	if call.retried || delay > remaining/3 {
		r.kindResult(call.kind).NotServed++
		return
	}
	call.retried = true
	call.instance = r.random.IntN(r.options.Instances)
	r.after(delay+networkRoundTrip, func() { r.arrive(call) })
}

func (r *run) countRefusal(call *request, reason string) {
	reasons := r.result.Refusals[call.kind.Name]
	if reasons == nil {
		reasons = make(map[string]int)
		r.result.Refusals[call.kind.Name] = reasons
	}
	reasons[reason]++
}

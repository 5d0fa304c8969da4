// Package emulator runs loads on simulated model engines in virtual time. It calls the decision packages directly. A
// load pattern therefore takes milliseconds, and policies are compared on the same arrivals.
package emulator

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/returntimes"
)

const (
	// shareInterval is the time between two load messages of an instance, unless Options sets another one.
	shareInterval = 60 * time.Millisecond
	// placeInterval is the time between two attempts to place a waiting request.
	placeInterval = 10 * time.Millisecond
	// networkRoundTrip is the time from a caller to an engine and back.
	networkRoundTrip = 8 * time.Millisecond
	// service is the key of the only service.
	service = 1
	// schedulerRoundTrip is the time from a request to a scheduler until its reply.
	schedulerRoundTrip = 4 * time.Millisecond
)

// Policy places requests.
type Policy func(p placement.Planner, e *fleet.Engine, candidates []placement.Candidate, need placement.Need) (placement.Choice, *placement.Refusal)

// run is the state of one run of a load.
type run struct {
	options    Options
	random     *rand.Rand
	planner    placement.Planner
	now        time.Duration
	queue      eventQueue
	seq        int
	endpoints  []*endpoint
	byEndpoint map[*fleet.Endpoint]*endpoint
	trackers   []*load.Tracker
	// schedulers holds the load tracker of each scheduler.
	schedulers []*load.Tracker
	// queues holds the wait queue of each scheduler, if Options.Queue is true.
	queues  []*shardQueue
	returns returnTimes
	result  Result
	pace    paceState
}

// teamStream selects the random numbers of teams, so that arrivals do not depend on them.
const teamStream = 2

// Run runs a load and returns the outcomes.
func Run(options Options) Result {
	r := &run{
		options:    options,
		random:     rand.New(rand.NewPCG(options.Seed, 1)),
		byEndpoint: make(map[*fleet.Endpoint]*endpoint),
		result: Result{
			Kinds: make(map[string]*KindResult), Teams: make(map[uint32]*TeamResult), Refusals: make(map[string]map[string]int),
		},
	}
	if r.options.ShareInterval == 0 {
		r.options.ShareInterval = shareInterval
	}
	r.planner = placement.Planner{IntN: r.random.IntN}
	r.returns = r.newReturnTimes()
	for i := range options.Endpoints {
		e := &endpoint{
			Endpoint: &fleet.Endpoint{ID: fmt.Sprintf("engine-%02d", i), Slots: options.Engine.Slots},
			engine:   &options.Engine, chunk: options.Chunk,
		}
		r.endpoints = append(r.endpoints, e)
		r.byEndpoint[e.Endpoint] = e
	}
	for i := range options.Shards {
		r.schedulers = append(r.schedulers, load.NewTracker())
		if options.Queue {
			r.queues = append(r.queues, newShardQueue(r, i))
		}
	}
	for i := range options.Instances {
		r.trackers = append(r.trackers, load.NewTracker())
		r.after(time.Duration(i)*r.options.ShareInterval/time.Duration(options.Instances), func() { r.sendCounts(i) })
	}
	r.startPace()
	arrivals := options.Load.arrivals(r.random)
	if options.Load.Teams > 0 {
		options.Load.assignTeams(arrivals, rand.New(rand.NewPCG(options.Seed, teamStream)))
	}
	r.scheduleArrivals(arrivals)
	for len(r.queue) > 0 {
		next := heap.Pop(&r.queue).(event)
		r.now = next.at
		next.run()
	}
	return r.summarize()
}

func (r *run) after(delay time.Duration, action func()) {
	r.seq++
	heap.Push(&r.queue, event{at: r.now + delay, seq: r.seq, run: action})
}

// virtualTime returns the virtual time in the form that the decision packages take.
func (r *run) virtualTime() time.Time { return time.Unix(0, int64(r.now)) }

// sendCounts sends the load counts of one instance to the other instances, and schedules the next message.
func (r *run) sendCounts(instance int) {
	counts := r.trackers[instance].Local(r.virtualTime())
	for i, tracker := range r.trackers {
		if i != instance {
			tracker.SetPeerCounts(fmt.Sprintf("instance-%d", instance), counts, r.virtualTime())
		}
	}
	if r.now < r.options.Load.Length+time.Minute {
		r.after(r.options.ShareInterval, func() { r.sendCounts(instance) })
	}
}

func (r *run) scheduleArrivals(arrivals []arrival) {
	for i, a := range arrivals {
		call := &request{arrival: a, instance: r.random.IntN(r.options.Instances), prompt: uint64(i) + 1}
		call.outputTokens = call.output(r.options.Engine.Stride)
		result := r.kindResult(a.kind)
		result.Requests++
		result.MaxEarned += call.value(a.kind.Value)
		if call.isInLargestTenth() {
			result.LargeRequests++
		}
		if a.team > 0 {
			team := r.teamResult(a.team)
			team.Requests++
			team.RequestedTime += r.engineTime(call)
		}
		r.after(a.at, func() { r.arrive(call) })
	}
}

func (r *run) kindResult(kind *Kind) *KindResult {
	result := r.result.Kinds[kind.Name]
	if result == nil {
		result = &KindResult{}
		r.result.Kinds[kind.Name] = result
	}
	return result
}

func (r *run) teamResult(team uint32) *TeamResult {
	result := r.result.Teams[team]
	if result == nil {
		result = &TeamResult{}
		r.result.Teams[team] = result
	}
	return result
}

func (r *run) arrive(call *request) {
	call.arrivedAt = r.now
	call.randomRank = r.random.Float64()
	if r.refuseInOutage(call) {
		return
	}
	if placement.IsShort(&r.options.Engine, placement.Need{Tokens: call.tokens}) {
		r.trackers[call.instance].CountArrival(service, r.virtualTime())
	}
	if len(r.schedulers) > 0 {
		call.shard = r.firstShard(call)
		call.home = call.shard
		if r.options.Queue {
			r.after(schedulerRoundTrip, func() {
				r.beginReturn(call)
				r.queues[call.shard].arrive(call)
			})
			return
		}
		r.after(schedulerRoundTrip, func() {
			r.beginReturn(call)
			r.placeByScheduler(call, 1)
		})
		return
	}
	r.beginReturn(call)
	r.placeByInstance(call)
}

// placeByScheduler places a request by the counts of the scheduler of its shard. After a refusal it tries another shard, up
// to schedulersPerRequest schedulers. Then it retries after placeInterval within the wait limit, or refuses the request.
func (r *run) placeByScheduler(call *request, tried int) {
	need := r.need(call)
	need.ExactCounts = true
	r.leaveRoom(call, &need)
	choice, refusal := r.options.Policy(r.planner, &r.options.Engine, r.shardCandidates(call.shard), need)
	switch {
	case refusal == nil:
		r.dispatch(call, choice)
	case tried < min(schedulersPerRequest, len(r.schedulers)):
		call.shard = (call.shard + 1 + r.random.IntN(len(r.schedulers)-1)) % len(r.schedulers)
		r.after(schedulerRoundTrip, func() { r.placeByScheduler(call, tried+1) })
	case r.now+placeInterval <= call.arrivedAt+placement.WaitLimit(refusal.Reason, call.kind.Objective):
		r.after(placeInterval, func() { r.placeByScheduler(call, tried) })
	default:
		r.refuseOrRetry(call, refusal)
	}
}

// schedulersPerRequest is the number of schedulers that are tried before a request waits or is refused.
const schedulersPerRequest = 2

// need returns the placement need of a request at the current time.
func (r *run) need(call *request) placement.Need {
	return placement.Need{
		Tokens: call.tokens, Output: call.output(r.options.Engine.Stride), MaxGap: call.kind.MaxGap, RandomRank: call.randomRank,
		Objective: placement.ObjectiveLeft(placement.Timing{
			Objective: call.kind.Objective, TimeLimit: call.kind.TimeLimit,
			Budget: call.kind.TimeLimit - (call.arrivedAt - call.at), Waited: r.now - call.arrivedAt,
		}),
	}
}

// placeByInstance places a request by the counts of its instance, retries after placeInterval within the wait limit,
// or refuses the request.
func (r *run) placeByInstance(call *request) {
	need := r.need(call)
	need.Unseen = r.trackers[call.instance].PeerDemand(service, r.virtualTime()) * r.options.ShareInterval.Seconds()
	r.leaveRoom(call, &need)
	choice, refusal := r.options.Policy(r.planner, &r.options.Engine, r.candidates(call.instance), need)
	switch {
	case refusal == nil:
		r.dispatch(call, choice)
	case r.now+placeInterval <= call.arrivedAt+placement.WaitLimit(refusal.Reason, call.kind.Objective):
		r.after(placeInterval, func() { r.placeByInstance(call) })
	default:
		r.refuseOrRetry(call, refusal)
	}
}

func (r *run) candidates(instance int) []placement.Candidate {
	return r.candidatesOf(instance, r.endpoints)
}

func (r *run) shardCandidates(shard int) []placement.Candidate {
	var part []*endpoint
	for i := shard; i < len(r.endpoints); i += len(r.schedulers) {
		part = append(part, r.endpoints[i])
	}
	return r.candidatesOf(shard, part)
}

func (r *run) candidatesOf(holder int, endpoints []*endpoint) []placement.Candidate {
	totals, _ := r.trackerOf(holder).Totals(r.virtualTime())
	candidates := make([]placement.Candidate, 0, len(endpoints))
	for _, e := range endpoints {
		c := placement.Candidate{Endpoint: e.Endpoint, Entry: totals.Entries[e.Key()]}
		if r.setPace(&c, e, holder) {
			candidates = append(candidates, c)
		}
	}
	return candidates
}

// dispatch sends a request to its endpoints.
func (r *run) dispatch(call *request, choice placement.Choice) {
	call.choice = choice
	r.observePlaced(call)
	call.reserved = make(map[*fleet.Endpoint]int64)
	for _, h := range choice.Reservations {
		call.reserved[h.Endpoint] = h.Tokens
		r.byEndpoint[h.Endpoint].usedTokens += h.Tokens
	}
	call.inFlight = r.trackerOf(r.holder(call)).Add(load.Work{
		Primary: choice.Primary, Helpers: choice.Helpers,
		Tokens: call.memoryTokens() - call.reservedTokens(), Reserved: call.reserved,
		Part: choice.Part, Predicted: choice.Predicted, MaxGap: call.kind.MaxGap,
		Objective: call.arrivedAt + call.kind.Objective - r.now, Limit: call.at + call.kind.TimeLimit - r.now,
	}, r.virtualTime())
	partCount := int64(len(choice.Helpers) + 1)
	call.partsRemaining = int(partCount)
	call.primary = r.byEndpoint[choice.Primary]
	r.observeDispatch(call, r.holder(call))
	tokens := max(call.tokens/partCount, 1)
	perToken := r.options.Engine.PrefillTime(call.tokens) / time.Duration(max(call.tokens, 1))
	shared := partCount > 1
	call.primaryPart = &part{request: call, remaining: tokens, perToken: perToken, shared: shared}
	call.primary.queue = append(call.primary.queue, call)
	r.startIfIdle(call.primary)
	for _, h := range choice.Helpers {
		helper := r.byEndpoint[h]
		helper.addPart(&part{request: call, remaining: tokens, perToken: perToken, shared: shared})
		r.startIfIdle(helper)
	}
}

// startIfIdle starts a pass of an idle endpoint.
func (r *run) startIfIdle(e *endpoint) {
	if e.running {
		return
	}
	length := e.startPass()
	if length == 0 {
		return
	}
	e.running = true
	r.after(length, func() { r.endPass(e) })
}

func (r *run) endPass(e *endpoint) {
	e.running = false
	prefilled, decoded := e.endPass()
	for _, call := range decoded {
		r.decodeEvent(call)
	}
	for _, call := range prefilled {
		call.inFlight.PrefillDone()
		r.observeWorkEnded(call, returntimes.Long)
		r.workEnded(call.shard)
		call.firstEventAt = r.now
		r.observeFirstEvent(call)
		call.primary.decoding = append(call.primary.decoding, call)
		r.decodeEvent(call)
		r.startIfIdle(call.primary)
	}
	r.startIfIdle(e)
}

// decodeEvent adds one event to a request, and ends the request after its last event or its time limit.
func (r *run) decodeEvent(call *request) {
	if call.eventsDecoded > 0 && r.now-call.lastEventAt > call.kind.MaxGap {
		call.gapExceeded = true
	}
	r.observeEvent(call)
	call.lastEventAt = r.now
	call.eventsDecoded++
	if call.eventsDecoded < call.events && r.now-call.at < call.kind.TimeLimit {
		return
	}
	r.observeEnd(call)
	call.primary.release(call)
	for h, tokens := range call.reserved {
		r.byEndpoint[h].usedTokens -= tokens
	}
	call.inFlight.End()
	r.observeWorkEnded(call, returntimes.Short)
	r.workEnded(call.shard)
	r.recordOutcome(call)
}

func (r *run) summarize() Result {
	var earned, maxEarned float64
	// The order of the kinds is fixed, because sums of floats depend on it.
	for _, name := range slices.Sorted(maps.Keys(r.result.Kinds)) {
		kind := r.result.Kinds[name]
		earned += kind.Earned
		maxEarned += kind.MaxEarned
	}
	if maxEarned > 0 {
		r.result.Value = earned / maxEarned
	}
	r.summarizePace()
	var prefill time.Duration
	for _, e := range r.endpoints {
		prefill += e.prefillTime
	}
	r.result.PrefillFraction = float64(prefill) / float64(r.options.Load.Length*time.Duration(len(r.endpoints)))
	return r.result
}

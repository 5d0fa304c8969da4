// Package emulator plays loads on model engines in virtual time. It drives the decision packages directly, so that a
// load pattern is replayed in milliseconds and policies are compared on the same arrivals.
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
)

const (
	// shareInterval is the pause between two load messages of an instance, unless a run states another one.
	shareInterval = 60 * time.Millisecond
	// placeInterval is the pause between two tries to place a waiting request.
	placeInterval = 10 * time.Millisecond
	// networkTime is the time from a caller to an engine and back.
	networkTime = 8 * time.Millisecond
	// service is the key of the only service.
	service = 1
	// askTime is the time of a question to a scheduler and its answer.
	askTime = 4 * time.Millisecond
)

// Policy places requests.
type Policy func(p placement.Planner, e *fleet.Engine, candidates []placement.Candidate, need placement.Need) (placement.Choice, *placement.Refusal)

// Options describes a run.
type Options struct {
	Engine fleet.Engine
	// Chunk is the number of prompt tokens that an engine reads in a step.
	Chunk     int64
	Endpoints int
	Instances int
	// ShareInterval is the pause between two load messages of an instance; the default is 60 ms.
	ShareInterval time.Duration
	// Shards is the number of parts of the endpoints on each of which one scheduler places all requests. With zero, each
	// instance places by the counts that it has.
	Shards int
	Load   Load
	Policy Policy
	Seed   uint64
}

// Result sums what callers got.
type Result struct {
	Kinds map[string]*KindResult
	// Value is the value earned as a fraction of the value that all requests on time would have earned.
	Value float64
	// Reading is the part of the engines' time that they spent on reading prompts.
	Reading float64
}

// KindResult sums the outcomes of a kind.
type KindResult struct {
	Asked, OnTime, Late, Refused int
	// RefusedAgain counts the refused that had come back after a refusal.
	RefusedAgain int
	Earned, Owed float64
	// LargeAsked and LargeServed count the largest tenth of the kind.
	LargeAsked, LargeServed int
}

// event is an action at a time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// run is one play of a load.
type run struct {
	options   Options
	random    *rand.Rand
	planner   placement.Planner
	now       time.Duration
	queue     eventQueue
	seq       int
	endpoints []*endpoint
	byID      map[*fleet.Endpoint]*endpoint
	books     []*load.Tracker
	// ledgers hold the load trackers of the schedulers.
	ledgers []*load.Tracker
	result  Result
}

// Run runs a load and returns what callers got.
func Run(options Options) Result {
	r := &run{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, 1)),
		byID:    make(map[*fleet.Endpoint]*endpoint),
		result:  Result{Kinds: make(map[string]*KindResult)},
	}
	if r.options.ShareInterval == 0 {
		r.options.ShareInterval = shareInterval
	}
	r.planner = placement.Planner{IntN: r.random.IntN}
	for i := range options.Endpoints {
		e := &endpoint{
			Endpoint: &fleet.Endpoint{ID: fmt.Sprintf("engine-%02d", i), Slots: options.Engine.Slots},
			engine:   &options.Engine, chunk: options.Chunk,
		}
		r.endpoints = append(r.endpoints, e)
		r.byID[e.Endpoint] = e
	}
	for range options.Shards {
		r.ledgers = append(r.ledgers, load.NewTracker())
	}
	for i := range options.Instances {
		r.books = append(r.books, load.NewTracker())
		r.after(time.Duration(i)*r.options.ShareInterval/time.Duration(options.Instances), func() { r.share(i) })
	}
	r.schedule(options.Load.arrivals(r.random))
	for len(r.queue) > 0 {
		next := heap.Pop(&r.queue).(event)
		r.now = next.at
		next.run()
	}
	return r.summary()
}

func (r *run) after(delay time.Duration, action func()) {
	r.seq++
	heap.Push(&r.queue, event{at: r.now + delay, seq: r.seq, run: action})
}

// clock returns the virtual time in the form that the decision packages take.
func (r *run) clock() time.Time { return time.Unix(0, int64(r.now)) }

// share sends the counts of one instance to the others.
func (r *run) share(instance int) {
	own := r.books[instance].Local(r.clock())
	for i, book := range r.books {
		if i != instance {
			book.SetPeerCounts(fmt.Sprintf("instance-%d", instance), own, r.clock())
		}
	}
	if r.now < r.options.Load.Length+time.Minute {
		r.after(r.options.ShareInterval, func() { r.share(instance) })
	}
}

func (r *run) schedule(arrivals []arrival) {
	for _, a := range arrivals {
		call := &request{arrival: a, instance: r.random.IntN(r.options.Instances)}
		call.outputTokens = call.output(r.options.Engine.Stride)
		kind := r.kindResult(a.kind)
		kind.Asked++
		kind.Owed += call.worth(a.kind.Value)
		if call.isLarge() {
			kind.LargeAsked++
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

func (r *run) arrive(call *request) {
	call.arrived = r.now
	call.lot = r.random.Float64()
	if placement.IsShort(&r.options.Engine, placement.Need{Tokens: call.tokens}) {
		r.books[call.instance].CountArrival(service, r.clock())
	}
	if len(r.ledgers) > 0 {
		call.shard = r.random.IntN(len(r.ledgers))
		r.after(askTime, func() { r.ask(call, 1) })
		return
	}
	r.tryPlace(call)
}

// ask lets the scheduler of the call's shard place it. A refused call asks one more scheduler.
func (r *run) ask(call *request, asked int) {
	need := r.need(call)
	need.Exact = true
	choice, refusal := r.options.Policy(r.planner, &r.options.Engine, r.shardCandidates(call.shard), need)
	switch {
	case refusal == nil:
		r.send(call, choice)
	case asked < min(asksPerCall, len(r.ledgers)):
		call.shard = (call.shard + 1 + r.random.IntN(len(r.ledgers)-1)) % len(r.ledgers)
		r.after(askTime, func() { r.ask(call, asked+1) })
	case r.now+placeInterval <= call.arrived+placement.WaitLimit(refusal.Reason, call.kind.Objective):
		r.after(placeInterval, func() { r.ask(call, asked) })
	default:
		r.refuse(call, refusal)
	}
}

// asksPerCall is the number of schedulers that are asked before a call waits or is refused.
const asksPerCall = 2

// need describes a call at the present time.
func (r *run) need(call *request) placement.Need {
	return placement.Need{
		Tokens: call.tokens, Output: call.output(r.options.Engine.Stride), MaxGap: call.kind.MaxGap, RandomRank: call.lot,
		Objective: placement.ObjectiveLeft(placement.Timing{
			Objective: call.kind.Objective, TimeLimit: call.kind.Deadline,
			Budget: call.kind.Deadline - (call.arrived - call.at), Waited: r.now - call.arrived,
		}),
	}
}

// tryPlace places a request, waits a moment for room, or refuses it.
func (r *run) tryPlace(call *request) {
	need := r.need(call)
	need.Unseen = r.books[call.instance].PeerDemand(service, r.clock()) * r.options.ShareInterval.Seconds()
	choice, refusal := r.options.Policy(r.planner, &r.options.Engine, r.candidates(call.instance), need)
	switch {
	case refusal == nil:
		r.send(call, choice)
	case r.now+placeInterval <= call.arrived+placement.WaitLimit(refusal.Reason, call.kind.Objective):
		r.after(placeInterval, func() { r.tryPlace(call) })
	default:
		r.refuse(call, refusal)
	}
}

// refuse lets the caller return once, if the advised delay is at most a third of its time.
func (r *run) refuse(call *request, refusal *placement.Refusal) {
	left := call.kind.Deadline - (r.now - call.at)
	if call.returned {
		r.kindResult(call.kind).RefusedAgain++
	}
	if call.returned || refusal.RetryAfter > left/3 {
		r.kindResult(call.kind).Refused++
		return
	}
	call.returned = true
	call.instance = r.random.IntN(r.options.Instances)
	r.after(refusal.RetryAfter+networkTime, func() { r.arrive(call) })
}

func (r *run) candidates(instance int) []placement.Candidate {
	return r.candidatesOf(r.books[instance], r.endpoints)
}

func (r *run) shardCandidates(shard int) []placement.Candidate {
	var part []*endpoint
	for i := shard; i < len(r.endpoints); i += len(r.ledgers) {
		part = append(part, r.endpoints[i])
	}
	return r.candidatesOf(r.ledgers[shard], part)
}

func (r *run) candidatesOf(book *load.Tracker, endpoints []*endpoint) []placement.Candidate {
	totals, _ := book.Totals(r.clock())
	candidates := make([]placement.Candidate, 0, len(endpoints))
	for _, e := range endpoints {
		candidates = append(candidates, placement.Candidate{Endpoint: e.Endpoint, Entry: totals.Entries[e.Key()]})
	}
	return candidates
}

// send hands a request to its endpoints.
func (r *run) send(call *request, choice placement.Choice) {
	call.place = choice
	call.held = make(map[*fleet.Endpoint]int64)
	for _, h := range choice.Reservations {
		call.held[h.Endpoint] = h.Tokens
		r.byID[h.Endpoint].memory += h.Tokens
	}
	book := r.books[call.instance]
	if len(r.ledgers) > 0 {
		book = r.ledgers[call.shard]
	}
	call.holding = book.Add(load.Work{
		Primary: choice.Primary, Helpers: choice.Helpers, Tokens: call.memory() - call.heldTokens(), Reserved: call.held,
		Part: choice.Part, Predicted: choice.Predicted, MaxGap: call.kind.MaxGap,
		Objective: call.arrived + call.kind.Objective - r.now, Limit: call.at + call.kind.Deadline - r.now,
	}, r.clock())
	readers := int64(len(choice.Helpers) + 1)
	call.partsLeft = int(readers)
	call.first = r.byID[choice.Primary]
	tokens := max(call.tokens/readers, 1)
	perToken := r.options.Engine.PrefillTime(call.tokens) / time.Duration(max(call.tokens, 1))
	shared := readers > 1
	call.ownPart = &part{request: call, left: tokens, perToken: perToken, shared: shared}
	call.first.queue = append(call.first.queue, call)
	r.wake(call.first)
	for _, h := range choice.Helpers {
		helper := r.byID[h]
		helper.addPart(&part{request: call, left: tokens, perToken: perToken, shared: shared})
		r.wake(helper)
	}
}

// wake starts a pass of an idle endpoint.
func (r *run) wake(e *endpoint) {
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
	read, wrote := e.endPass()
	for _, call := range wrote {
		r.write(call)
	}
	for _, call := range read {
		call.holding.PrefillDone()
		call.firstAt = r.now
		call.first.writers = append(call.first.writers, call)
		r.write(call)
		r.wake(call.first)
	}
	r.wake(e)
}

// write lets a request write one event.
func (r *run) write(call *request) {
	if call.written > 0 && r.now-call.lastAt > call.kind.MaxGap {
		call.paused = true
	}
	call.lastAt = r.now
	call.written++
	if call.written < call.events && r.now-call.at < call.kind.Deadline {
		return
	}
	call.first.finish(call)
	for h, tokens := range call.held {
		r.byID[h].memory -= tokens
	}
	call.holding.End()
	r.account(call)
}

func (r *run) summary() Result {
	var earned, owed float64
	// The order of the kinds is fixed, because sums of floats depend on it.
	for _, name := range slices.Sorted(maps.Keys(r.result.Kinds)) {
		kind := r.result.Kinds[name]
		earned += kind.Earned
		owed += kind.Owed
	}
	if owed > 0 {
		r.result.Value = earned / owed
	}
	var read time.Duration
	for _, e := range r.endpoints {
		read += e.readTime
	}
	r.result.Reading = float64(read) / float64(r.options.Load.Length*time.Duration(len(r.endpoints)))
	return r.result
}

package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acacialift/acacialift/internal/clock"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/scheduler"
)

const (
	// maxShardsWaited bounds the shards at whose schedulers a request waits before it is refused.
	maxShardsWaited = 2
	// A scheduler may defer its reply for holdFraction of the remaining objective, but for at least minHold. An unresponsive
	// scheduler then costs a short prompt only a part of its objective.
	holdFraction = 0.25
	minHold      = 50 * time.Millisecond
	// maxSilence is the time from the first message without a reply until the request is placed by the counts of this instance.
	// The last scheduler before that may defer its reply for at least minHoldAfterSilence; silenceMargin is left for delays.
	maxSilence          = 500 * time.Millisecond
	minHoldAfterSilence = 20 * time.Millisecond
	silenceMargin       = 20 * time.Millisecond
	// replyTimeout is how long after its hold time a scheduler counts as unresponsive.
	replyTimeout = 80 * time.Millisecond
)

// reasonEnded is the reason of a refusal if the request has ended while it waited.
const reasonEnded placement.Reason = "request_ended"

// waiting is the state of a request that may wait for capacity.
type waiting struct {
	// logged is true once the request has begun to wait.
	logged bool
	// displaced is the reason for which a queue has given up the request after it had waited; empty if none has.
	displaced string
	// silentSince is the time of the first message to schedulers without a reply since the last reply; zero if all have replied.
	silentSince time.Time
	// silentFor is the time since then at the last failure.
	silentFor time.Duration
}

// queueResult states what schedulers have decided on a request.
type queueResult int

const (
	// decided means that the request was placed or refused.
	decided queueResult = iota
	// undecided means that no scheduler has given a usable reply.
	undecided
	// withoutQueue means that a scheduler of an earlier version has refused the request.
	withoutQueue
)

// mayWait reports whether the request may wait in queues.
func (x *exchange) mayWait() bool {
	return x.service.Engine != nil && x.handler.options.Queue.Enabled(x.catalog, x.service.Name)
}

// placeOrWait chooses endpoints, and waits in the queue of a shard while there is no capacity.
func (x *exchange) placeOrWait(ctx context.Context) (attemptPlacement, *placement.Refusal) {
	for {
		bySchedulers := x.handler.options.Schedulers != nil && x.handler.options.Schedulers.Enabled(time.Now())
		if bySchedulers {
			p, refusal, result := x.waitAtSchedulers(ctx)
			switch {
			case result == decided:
				return p, refusal
			case result == withoutQueue:
				return x.poll(ctx)
			}
		}
		p, refusal, isDecided := x.waitLocally(ctx, bySchedulers)
		if isDecided {
			return p, refusal
		}
	}
}

// waitAtSchedulers waits at the scheduler of a shard and, if that one refuses the request or gives no usable reply, at the scheduler
// of the next shard. If there is only one shard, an instance may have taken the place of a scheduler without a reply.
func (x *exchange) waitAtSchedulers(ctx context.Context) (attemptPlacement, *placement.Refusal, queueResult) {
	options := x.handler.options
	count := scheduler.ShardCount(len(options.State.Snapshot().Endpoints[x.service.Name]))
	first := x.firstShard(count)
	var refusal *placement.Refusal
	for i := range maxShardsWaited {
		shard := scheduler.Shard{Service: x.service.Key(), Index: uint8((first + i) % int(count)), Count: count}
		if i > 0 && count == 1 && refusal != nil {
			break
		}
		other := shard
		if i == 0 {
			other.Index = uint8((first + 1) % int(count))
		}
		p, r, result := x.waitAt(ctx, shard, other)
		switch {
		case result == withoutQueue, ctx.Err() != nil, result == decided && r == nil:
			return p, r, result
		case result == decided && refusal == nil:
			refusal = r
		}
	}
	if refusal == nil {
		return attemptPlacement{}, nil, undecided
	}
	return attemptPlacement{}, refusal, decided
}

// firstShard returns the shard that the caller's own part of the prompt selects, or a random one. All attempts of a caller then
// reach the same queue, also through other instances.
func (x *exchange) firstShard(count uint8) int {
	if own := uint64(x.call.Prompt.Own); own != 0 {
		return int(own % uint64(count))
	}
	return x.handler.options.Planner.IntN(int(count))
}

// waitAt sends the request to the scheduler of a shard and renews its place there until it is placed or refused, the scheduler
// gives no usable reply, or the request ends. Once it waits there, the scheduler of the other shard, if there is one, may place it
// at once: one shard must not be idle while requests wait at another.
func (x *exchange) waitAt(ctx context.Context, shard, other scheduler.Shard) (attemptPlacement, *placement.Refusal, queueResult) {
	number := x.handler.options.Load.NextNumber()
	var last scheduler.PlaceResult
	for {
		sentAt, requestedAt := time.Now(), clock.Boot()
		request := x.waitRequest(shard, number, sentAt)
		triesOther := !last.Waiting && other != shard
		if triesOther {
			request.Terms.Hold = 0
		}
		result, ok := x.handler.options.Schedulers.Place(ctx, request)
		if last.Scheduler != result.Scheduler {
			// Another instance has become the scheduler of the shard.
			last.Placement.End()
		}
		x.observeReply(ok, sentAt)
		if ctx.Err() != nil {
			result.Placement.End()
			return attemptPlacement{}, &placement.Refusal{Reason: reasonEnded}, decided
		}
		if !ok || !result.Waiting {
			return x.evaluate(&result, ok, number, requestedAt)
		}
		last = result
		if triesOther {
			if p, ok := x.tryAt(ctx, other); ok {
				last.Placement.End()
				return p, nil, decided
			}
		}
		x.observeWait(result.Scheduler)
	}
}

// evaluate returns what the reply of a scheduler to a message that was sent at a time has decided. The request does not wait there.
func (x *exchange) evaluate(
	result *scheduler.PlaceResult, ok bool, number load.Number, requestedAt time.Duration,
) (attemptPlacement, *placement.Refusal, queueResult) {
	refusal := result.Refusal
	switch {
	case !ok, refusal != nil && refusal.Reason == placement.NoEndpoint:
		return attemptPlacement{}, nil, undecided
	case refusal == nil:
		return placedBy(result, number, requestedAt), nil, decided
	case !result.Queues:
		return attemptPlacement{}, refusal, withoutQueue
	}
	x.refusingScheduler = result.Scheduler
	x.observeDisplacement(refusal)
	x.observeTold(refusal, time.Now())
	return attemptPlacement{}, refusal, decided
}

// placedBy returns the placement by a scheduler of a request that was sent to it at a time.
func placedBy(result *scheduler.PlaceResult, number load.Number, requestedAt time.Duration) attemptPlacement {
	return attemptPlacement{
		Choice: result.Choice, number: number, schedulerPlacement: result.Placement, schedulerName: result.Scheduler,
		requestedAt: requestedAt + min(result.Held, result.Latency), schedulerLatency: result.Latency,
	}
}

// tryAt sends the request to the scheduler of a shard at which it does not wait. It returns false if the request was not placed.
func (x *exchange) tryAt(ctx context.Context, shard scheduler.Shard) (attemptPlacement, bool) {
	options := x.handler.options
	number, requestedAt := options.Load.NextNumber(), clock.Boot()
	request := x.waitRequest(shard, number, time.Now())
	request.Terms.Try, request.Terms.Hold = true, 0
	result, ok := options.Schedulers.Place(ctx, request)
	if !ok || result.Waiting || result.Refusal != nil {
		result.Placement.End()
		return attemptPlacement{}, false
	}
	return placedBy(&result, number, requestedAt), true
}

// waitRequest returns the message to a scheduler at which the request may wait.
func (x *exchange) waitRequest(shard scheduler.Shard, number load.Number, now time.Time) scheduler.PlaceRequest {
	options := x.handler.options
	request := scheduler.PlaceRequest{
		Number: number, Shard: shard, Need: x.need(), Limit: x.timeLimit - now.Sub(x.received), Avoid: x.excluded(now),
		Suspects: options.Health.Suspects(now), Full: slices.Collect(maps.Keys(options.RateLimiter.Full(now))),
		Terms: x.terms(now),
	}
	request.Need.Objective = x.objectiveLeft(now)
	return request
}

// terms returns how the request may wait. It keeps the arrival of the caller's first attempt.
func (x *exchange) terms(now time.Time) *scheduler.WaitTerms {
	timing := x.timing(now)
	t := &scheduler.WaitTerms{
		Rank: x.rank(), Prompt: uint64(x.call.Prompt.Own), Returning: x.returns.precedes, Used: placement.Used(timing),
		Useful: placement.UsefulLeft(timing), Hold: x.holdTime(now),
	}
	if x.team.Name != "" {
		t.Team = uint32(xxhash.Sum64String(x.team.Name))
	}
	if !timing.Resumed {
		t.FullObjective = timing.Objective
	}
	return t
}

// holdTime returns how long a scheduler may defer its reply.
func (x *exchange) holdTime(now time.Time) time.Duration {
	hold := time.Duration(holdFraction * float64(x.objectiveLeft(now)))
	hold = min(max(hold, minHold), scheduler.HoldTime)
	if !x.waiting.silentSince.IsZero() {
		left := maxSilence - replyTimeout - silenceMargin - x.waiting.silentFor
		hold = min(hold, max(left, minHoldAfterSilence))
	}
	return hold
}

// observeReply records whether a scheduler has replied to a message that was sent at a time.
func (x *exchange) observeReply(replied bool, sentAt time.Time) {
	if replied {
		x.waiting.silentSince = time.Time{}
		return
	}
	if x.waiting.silentSince.IsZero() {
		x.waiting.silentSince = sentAt
	}
	x.waiting.silentFor = time.Since(x.waiting.silentSince)
}

// observeDisplacement records that a request that has waited is refused.
func (x *exchange) observeDisplacement(refusal *placement.Refusal) {
	if x.waiting.logged {
		x.waiting.displaced = string(refusal.Reason)
	}
}

// waitLocally waits in the queue of this instance. If the fleet has schedulers, it ends undecided after the hold time, because they
// may reply again.
func (x *exchange) waitLocally(ctx context.Context, hasSchedulers bool) (attemptPlacement, *placement.Refusal, bool) {
	number := x.handler.options.Load.NextNumber()
	queue := x.handler.localQueue
	var tracked *load.Request
	outcomes := make(chan scheduler.Outcome, 1)
	if queue.Place(x.localRequest(number, &tracked), time.Now(), func(o scheduler.Outcome) { outcomes <- o }) {
		x.observeWait("")
	}
	var holdEnds <-chan time.Time
	if hasSchedulers {
		holdEnds = time.After(scheduler.HoldTime)
	}
	select {
	case o := <-outcomes:
		if o.Refusal != nil {
			return attemptPlacement{}, x.localRefusal(o.Refusal), true
		}
		return attemptPlacement{Choice: o.Choice, number: number, tracked: tracked}, nil, true
	case <-ctx.Done():
	case <-holdEnds:
	}
	queue.End(x.service.Key(), number)
	if tracked != nil {
		// The request was placed at this moment.
		tracked.End()
	}
	return attemptPlacement{}, &placement.Refusal{Reason: reasonEnded}, ctx.Err() != nil
}

// localRefusal returns the refusal of the queue of this instance as the caller gets it.
func (x *exchange) localRefusal(refusal *placement.Refusal) *placement.Refusal {
	x.refusingScheduler = ""
	x.observeDisplacement(refusal)
	x.observeTold(refusal, time.Now())
	if refusal.Reason == placement.NoEndpoint && x.minBackOff > 0 {
		// The caller may retry when the first back-off has ended.
		refusal.Reason, refusal.RetryAfter = placement.EndpointsBackOff, x.minBackOff
	}
	return refusal
}

// localRequest returns the request for the queue of this instance. When it is placed, tracked is set.
func (x *exchange) localRequest(number load.Number, tracked **load.Request) scheduler.LocalRequest {
	instances := 0
	shard := scheduler.Shard{Service: x.service.Key()}
	r := scheduler.LocalRequest{PlaceRequest: x.waitRequest(shard, number, time.Now()), Engine: x.service.Engine}
	r.Candidates = func(now time.Time) (candidates []placement.Candidate) {
		candidates, instances = x.candidates(now)
		return candidates
	}
	r.Place = func(candidates []placement.Candidate, need placement.Need, now time.Time) (placement.Choice, *placement.Refusal) {
		choice, refusal := x.placeOn(candidates, instances, need, now)
		if refusal == nil {
			*tracked = x.handler.options.Load.AddNumbered(number, x.work(choice, now), now)
		}
		return choice, refusal
	}
	return r
}

package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/acacialift/acacialift/internal/clock"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/scheduler"
	"github.com/acacialift/acacialift/internal/settings"
)

const (
	// placeRetryInterval is the delay before a waiting request is placed again.
	placeRetryInterval = 10 * time.Millisecond
	// discoveryTime is how long after its start an instance without peer counts assumes that peers exist. Later, it
	// treats its load as the load of the whole fleet.
	discoveryTime = 3 * time.Second
	// schedulerRetryInterval is the delay before a waiting request that schedulers have refused is placed again.
	schedulerRetryInterval = 25 * time.Millisecond
	// maxShardsTried bounds the shards whose schedulers get a request before it waits or is refused.
	maxShardsTried = 3
	// randomRanks is the number of different random ranks.
	randomRanks = 1 << 16
)

// attemptPlacement holds the endpoints chosen for one attempt.
type attemptPlacement struct {
	placement.Choice
	number load.Number
	// schedulerPlacement and schedulerName are set only if a scheduler has placed the attempt.
	schedulerPlacement *scheduler.Placement
	schedulerName      string
	// requestedAt is the boot-time at which the request was sent to the scheduler.
	requestedAt      time.Duration
	schedulerLatency time.Duration
	// tracked is set if the request is tracked already.
	tracked *load.Request
}

// place chooses endpoints. If none has capacity, the request waits for it or is refused.
func (x *exchange) place(ctx context.Context) (attemptPlacement, *placement.Refusal) {
	x.countArrival()
	x.beginReturns(time.Now())
	if x.mayWait() {
		return x.placeOrWait(ctx)
	}
	return x.poll(ctx)
}

// poll chooses endpoints. If none has capacity, it retries until the wait limit of the refusal's reason, then returns the
// refusal.
func (x *exchange) poll(ctx context.Context) (attemptPlacement, *placement.Refusal) {
	for {
		p, refusal := x.tryPlace(ctx, x.objectiveLeft(time.Now()))
		if refusal == nil {
			return p, nil
		}
		interval := placeRetryInterval
		if x.bySchedulers {
			interval = schedulerRetryInterval
		}
		until := x.received.Add(placement.WaitLimit(refusal.Reason, x.profile.Objective))
		if time.Now().Add(interval).After(until) {
			return p, refusal
		}
		select {
		case <-ctx.Done():
			return p, refusal
		case <-time.After(interval):
		}
	}
}

// objectiveLeft returns the time within which the placement should deliver the first event.
func (x *exchange) objectiveLeft(now time.Time) time.Duration {
	return placement.ObjectiveLeft(x.timing(now))
}

func (x *exchange) timing(now time.Time) placement.Timing {
	return placement.Timing{
		Objective: x.profile.Objective, TimeLimit: x.profile.TimeLimit, Budget: x.call.Budget, Waited: now.Sub(x.received),
		Resumed: x.streamStarted,
	}
}

// tryPlace places the call once. It uses the schedulers if they are enabled and one of them replies, otherwise the counts of
// this instance.
func (x *exchange) tryPlace(ctx context.Context, objective time.Duration) (attemptPlacement, *placement.Refusal) {
	options := x.handler.options
	x.bySchedulers = false
	if x.service.Engine != nil && options.Schedulers != nil && options.Schedulers.Enabled(time.Now()) {
		if p, refusal, ok := x.placeBySchedulers(ctx, objective); ok {
			x.bySchedulers = true
			return p, refusal
		}
	}
	choice, refusal := x.placeLocally(objective)
	if refusal != nil && refusal.Reason == placement.NoEndpoint && x.minBackOff > 0 {
		// The caller may retry when the first back-off has ended.
		refusal.Reason, refusal.RetryAfter = placement.EndpointsBackOff, x.minBackOff
	}
	return attemptPlacement{Choice: choice, number: options.Load.NextNumber()}, refusal
}

// placeBySchedulers sends the request to the scheduler of a random shard and, if that scheduler refuses or gives no usable
// reply, to the schedulers of the next shards, up to maxShardsTried. It returns false if there was no usable reply.
func (x *exchange) placeBySchedulers(
	ctx context.Context, objective time.Duration,
) (attemptPlacement, *placement.Refusal, bool) {
	options := x.handler.options
	request := scheduler.PlaceRequest{
		Need: x.need(), Limit: x.timeLimit - time.Since(x.received), Avoid: x.excluded(time.Now()), Returns: x.returnTerms(),
	}
	request.Need.Objective = objective
	request.Suspects = options.Health.Suspects(time.Now())
	request.Full = slices.Collect(maps.Keys(options.RateLimiter.Full(time.Now())))
	count := scheduler.ShardCount(len(options.State.Snapshot().Endpoints[x.service.Name]))
	first := options.Planner.IntN(int(count))
	if request.Returns != nil {
		first = x.firstShard(count)
	}
	var refusal *placement.Refusal
	for i := range min(int(count), maxShardsTried) {
		request.Number = options.Load.NextNumber()
		requestedAt := clock.Boot()
		request.Shard = scheduler.Shard{Service: x.service.Key(), Index: uint8((first + i) % int(count)), Count: count}
		result, ok := options.Schedulers.Place(ctx, request)
		switch {
		case !ok:
		case result.Refusal != nil:
			refusal = result.Refusal
			x.refusingScheduler = result.Scheduler
			x.observeTold(refusal, time.Now())
		default:
			return attemptPlacement{
				Choice: result.Choice, number: request.Number, schedulerPlacement: result.Placement,
				schedulerName: result.Scheduler, requestedAt: requestedAt, schedulerLatency: result.Latency,
			}, nil, true
		}
	}
	return attemptPlacement{}, refusal, refusal != nil
}

// excluded returns the keys of the endpoints that a scheduler must not choose for this call: they are leaving, in back-off,
// already tried, or perhaps in a cold start that the scheduler does not know of.
func (x *exchange) excluded(now time.Time) []uint32 {
	options := x.handler.options
	var keys []uint32
	for _, e := range options.State.Snapshot().Endpoints[x.service.Name] {
		if e.Leaving || x.tried[e.ID] || options.Health.BackOffLeft(e.Key(), now) > 0 || x.avoidsCold(e, now) {
			keys = append(keys, e.Key())
		}
	}
	return keys
}

// placeLocally places the call by the counts of this instance.
func (x *exchange) placeLocally(objective time.Duration) (placement.Choice, *placement.Refusal) {
	now := time.Now()
	candidates, instances := x.candidates(now)
	if x.service.Engine == nil {
		return x.handler.options.Planner.PlacePlain(candidates, x.handler.options.Domain, x.plainRank())
	}
	need := x.need()
	need.Objective = objective
	return x.placeOn(candidates, instances, need, now)
}

// placeOn places the call on candidates for a model service that this instance knows with the counts of a number of other
// instances.
func (x *exchange) placeOn(
	candidates []placement.Candidate, instances int, need placement.Need, now time.Time,
) (placement.Choice, *placement.Refusal) {
	need.RandomRank, need.Unseen = x.randomRank, x.unseen(now)
	x.leaveRoomForReturns(&need, now)
	need.PeersUnknown = instances == 0 && now.Sub(x.handler.started) < discoveryTime
	return x.handler.options.Planner.PlaceModel(x.service.Engine, candidates, need)
}

// plainRank returns the rank of a call for a plain service, or the zero value where ranks do not count.
func (x *exchange) plainRank() placement.PlainRank {
	if x.handler.options.Queue != settings.ModeOn {
		return placement.PlainRank{}
	}
	return placement.PlainRank{Rank: x.rank(), Ranks: x.catalog.RankCount(x.service.Name)}
}

// need returns the needs of the request except its objective.
func (x *exchange) need() placement.Need {
	return placement.Need{Tokens: x.call.PromptTokens, Output: x.call.MaxOutput, MaxGap: x.profile.MaxGap}
}

// countArrival counts a short prompt for a model service as demand, which is reported to the peers. It counts each request
// once.
func (x *exchange) countArrival() {
	if x.service.Engine == nil || x.arrivalCounted || !placement.IsShort(x.service.Engine, x.need()) {
		return
	}
	x.arrivalCounted = true
	x.randomRank = float64(x.handler.options.Planner.IntN(randomRanks)) / randomRanks
	x.handler.options.Load.CountArrival(x.service.Key(), time.Now())
}

// unseen returns the expected number of short prompts that peers have placed and that are not yet included in the peer
// counts.
func (x *exchange) unseen(now time.Time) float64 {
	h := x.handler
	return h.options.Load.PeerDemand(x.service.Key(), now) * h.options.CountsAge(now).Seconds()
}

// candidates returns the endpoints of the service that may get the request, and the number of peers whose counts are known.
func (x *exchange) candidates(now time.Time) ([]placement.Candidate, int) {
	h := x.handler
	x.minBackOff = 0
	snapshot := h.options.State.Snapshot()
	totals, instances := h.options.Load.Totals(now)
	full := h.options.RateLimiter.Full(now)
	var candidates []placement.Candidate
	for _, e := range snapshot.Endpoints[x.service.Name] {
		if e.Leaving || snapshot.OutOfService[e.Domain] || x.tried[e.ID] {
			continue
		}
		if left := h.options.Health.BackOffLeft(e.Key(), now); left > 0 {
			x.minBackOff = minBackOff(x.minBackOff, left)
			continue
		}
		c := placement.Candidate{Endpoint: e, Entry: totals.Entries[e.Key()], Full: full[e.Key()]}
		c.Suspect = c.Suspect || h.options.Health.IsSuspect(e.Key(), now)
		c.Cold = h.isCold(x.service, e, now)
		if h.pacesService(snapshot.Catalog, x.service.Name) {
			c.SetPace(h.options.Pace.Assess(e.Key(), h.condition(x.service, e, now), now))
		}
		if c.Cold && !h.options.ColdLimiter.Allows(e.Key(), x.service.ColdRate, now) {
			continue
		}
		candidates = append(candidates, c)
	}
	return candidates, instances
}

// minBackOff returns the shorter of two back-offs. If a is zero, it returns b.
func minBackOff(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

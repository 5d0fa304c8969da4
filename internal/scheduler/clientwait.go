package scheduler

import (
	"context"
	"time"

	"github.com/acacialift/acacialift/internal/peer"
)

// notReadyTime is how long another instance is asked in place of a scheduler that is not ready.
const notReadyTime = 50 * time.Millisecond

// placeOrWait is Place for a request with Terms. If the scheduler of the shard has failed or is not ready, it asks the instance that
// comes after it.
func (c *Client) placeOrWait(ctx context.Context, request PlaceRequest, start time.Time) (PlaceResult, bool) {
	address, ok := c.options.Members.Scheduler(request.Shard.key(), start)
	if !ok {
		return PlaceResult{}, false
	}
	terms := *request.Terms
	request.From, request.Terms = c.options.Self, &terms
	if !c.isOut(address, start) {
		result, ok := c.placeOrWaitAt(ctx, address, &request)
		result.Scheduler, result.Latency = address, time.Since(start)
		if ok || !result.notReady {
			return result, ok
		}
	}
	next := c.options.Members.NextScheduler(request.Shard.key(), address, start)
	if next == address || c.isOut(next, start) {
		return PlaceResult{}, false
	}
	terms.Failed = address
	result, ok := c.placeOrWaitAt(ctx, next, &request)
	result.Scheduler, result.Latency = next, time.Since(start)
	return result, ok
}

// placeOrWaitAt sends a request with Terms, or renews its place in the queue, at a scheduler. It returns false if there was no
// usable reply.
func (c *Client) placeOrWaitAt(ctx context.Context, address string, request *PlaceRequest) (PlaceResult, bool) {
	c.ensureSynced(request.Shard, address)
	placed := &Placement{client: c, scheduler: address, shard: request.Shard, number: request.Number}
	if address == c.options.Self {
		return c.placeOrWaitHere(ctx, placed, request)
	}
	message := placeRequestMessage(request)
	reply, err := c.callWaiting(ctx, address, &message)
	if err != nil {
		// The scheduler may have placed the request although its reply was lost.
		placed.End()
		return PlaceResult{}, false
	}
	if invalid := reply.Invalid(); invalid.Count > 0 {
		logInvalid(c.options.Log, &c.rejections, address, invalid)
		placed.End()
		return PlaceResult{}, false
	}
	result := PlaceResult{Queues: reply.Extension.Queues, Held: microseconds(reply.Extension.HeldUS)}
	switch {
	case reply.NotReady:
		c.markNotReady(address)
		return PlaceResult{notReady: true}, false
	case reply.Extension.Waiting:
		result.Waiting, result.Placement = true, placed
		return result, true
	case !reply.Placed:
		result.Refusal = refusalOf(reply)
		return result, true
	}
	choice, complete := choiceOf(reply, c.options.State.Snapshot().ByKey, request.Shard.Service)
	if !complete {
		placed.End()
	}
	result.Choice, result.Placement = choice, placed
	return result, complete
}

// placeOrWaitHere is placeOrWaitAt for a shard whose scheduler is this instance.
func (c *Client) placeOrWaitHere(ctx context.Context, placed *Placement, request *PlaceRequest) (PlaceResult, bool) {
	outcomes := make(chan Outcome, 1)
	c.options.Local.PlaceOrWait(*request, time.Now(), func(o Outcome) { outcomes <- o })
	select {
	case o := <-outcomes:
		result := PlaceResult{Choice: o.Choice, Refusal: o.Refusal, Waiting: o.Waiting, Queues: true, Held: o.Held}
		if o.Refusal == nil {
			result.Placement = placed
		}
		result.notReady = o.NotReady
		return result, !o.NotReady
	case <-ctx.Done():
		placed.End()
		return PlaceResult{}, false
	}
}

// callWaiting sends a request whose reply may be deferred.
func (c *Client) callWaiting(ctx context.Context, address string, message *peer.PlaceRequest) (*peer.PlaceReply, error) {
	timeout := milliseconds(message.Extension.HoldMS) + requestTimeout
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply peer.PlaceReply
	err := c.options.Peers.Call(callCtx, address, peer.KindPlaceRequest, message, &reply)
	switch {
	case err == nil:
		c.recordReply(address)
	case ctx.Err() == nil && !c.hasFailed(address, time.Now()):
		// Only the first of the requests that wait there starts the back-off.
		c.recordFailure(address, err)
	}
	return &reply, err
}

// hasFailed reports whether a scheduler is in back-off because it has not replied.
func (c *Client) hasFailed(address string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.schedulerState(address)
	return state.backOff > 0 && now.Before(state.backOffUntil)
}

// isOut reports whether another instance is to be asked instead of a scheduler, because it has not replied or is not ready.
func (c *Client) isOut(address string, now time.Time) bool {
	if c.hasFailed(address, now) {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.schedulerState(address).notReadyUntil)
}

// markNotReady records that a scheduler is not ready.
func (c *Client) markNotReady(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.schedulerState(address).notReadyUntil = time.Now().Add(notReadyTime)
}

// collectAll requests the lists of all live instances for a new shard, except that of the failed scheduler in whose place this
// instance is asked. Once all have replied, the shard is complete and its warm-up ends if its service has a wait queue.
func (c *Client) collectAll(ctx context.Context, shard Shard, now time.Time) {
	failed, since := c.options.Local.standIn(shard)
	replies := make(chan bool)
	pending := 0
	for _, address := range c.options.Members.Live(now) {
		if address == failed {
			continue
		}
		pending++
		go c.options.Panics.Recover("message of a peer", func() {
			collected := false
			defer func() { replies <- collected }()
			collected = c.collect(ctx, shard, address)
		})
	}
	go func() {
		complete := true
		for range pending {
			complete = <-replies && complete
		}
		if complete && c.options.HasQueue != nil && c.options.HasQueue(shard.Service) {
			c.options.Local.markComplete(shard, since)
		}
	}()
}

// standIn returns the failed scheduler in whose place this instance is asked, empty if there is none, and the time at which the state
// of the shard was created.
func (s *Scheduler) standIn(shard Shard) (failed string, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.shards[shard]
	if state == nil {
		return "", time.Time{}
	}
	return state.standInFor, state.since
}

// isStandIn reports whether this instance is asked for a shard in place of its scheduler.
func (s *Scheduler) isStandIn(shard Shard, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.shards[shard]
	return state != nil && !now.After(state.standInUntil)
}

// markComplete ends the warm-up of the shard state that was created at a time.
func (s *Scheduler) markComplete(shard Shard, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.shards[shard]; state != nil && state.since.Equal(since) {
		state.isComplete = true
	}
}

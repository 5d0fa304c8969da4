package scheduler

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/panics"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/placement"
)

const (
	// requestTimeout bounds one request to a scheduler. A scheduler on a small machine may have to wait for a processor.
	requestTimeout = 80 * time.Millisecond
	// minBackOff is how long no requests are sent to a scheduler after its first failure. Each further failure doubles the
	// back-off, up to maxBackOff.
	minBackOff = 250 * time.Millisecond
	maxBackOff = 2 * time.Second
	// notReadyBackOff is how long no requests are sent to a scheduler after it replied that it is not ready for its shard.
	notReadyBackOff = 200 * time.Millisecond
	// syncInterval is the time between two lists of this instance's requests.
	syncInterval = time.Second
	// sendTimeout bounds the sending of one update or list.
	sendTimeout = 5 * time.Millisecond
	// collectTimeout bounds the request for an instance's list. A later list is of no use, because the warm-up is over.
	collectTimeout = warmUpTime
	// discoveryTime is how long after its start an instance does not collect lists. When a whole fleet starts, many instances
	// believe for a moment to be the scheduler of a shard.
	discoveryTime = 2 * time.Second
)

// Peers sends messages to other instances.
type Peers interface {
	Call(ctx context.Context, address string, kind peer.Kind, body, out any) error
	Send(ctx context.Context, address string, kind peer.Kind, body any) error
	Disconnect(address string)
}

// Members returns the scheduler of a shard and reports which instances are live.
type Members interface {
	// Scheduler returns the instance that is the scheduler for a key. It may be this instance. All instances that know the
	// same members choose the same scheduler. It returns false if the fleet is so small that no scheduler is needed.
	Scheduler(key uint64, now time.Time) (address string, ok bool)
	// NextScheduler returns the instance that would be the scheduler for a key if the failed one were not live.
	NextScheduler(key uint64, failed string, now time.Time) (address string)
	// IsLive reports whether a message of an instance was received recently.
	IsLive(address string, now time.Time) bool
	// Live returns the addresses of the other instances that are live.
	Live(now time.Time) []string
}

// ClientOptions configures a Client.
type ClientOptions struct {
	// Self is the peer address of this instance.
	Self    string
	Peers   Peers
	Members Members
	Local   *Scheduler
	Load    *load.Tracker
	State   *fleet.State
	// HasQueue reports whether requests for a service may wait at its schedulers; if nil, none has a wait queue.
	HasQueue func(service uint32) bool
	Log      zerolog.Logger
	// Panics records panics in the handling of messages; the default only logs them.
	Panics *panics.Recorder
}

// schedulerState is the back-off state of one scheduler.
type schedulerState struct {
	// No requests are sent to the scheduler before backOffUntil. backOff is the length of the last back-off after a
	// failure; zero after a reply.
	backOffUntil time.Time
	backOff      time.Duration
	// Requests that may wait are sent to another instance before notReadyUntil.
	notReadyUntil time.Time
}

// Client sends place requests to the schedulers of the shards, and reports this instance's requests to them.
type Client struct {
	options ClientOptions

	mu         sync.Mutex
	schedulers map[string]*schedulerState
	// syncedWith is the scheduler that received the last list of this instance's requests on a shard.
	syncedWith map[Shard]string
	// hadRequests is true for shards whose last list was not empty.
	hadRequests map[Shard]bool
	// listUntil is how long the lists of a shard are sent although they are empty.
	listUntil map[Shard]time.Time
	started   time.Time

	rejections peer.Rejections
}

// NewClient returns a client.
func NewClient(options ClientOptions) *Client {
	if options.Panics == nil {
		options.Panics = panics.NewRecorder(options.Log, func() {})
	}
	c := &Client{
		options: options, schedulers: make(map[string]*schedulerState), syncedWith: make(map[Shard]string),
		hadRequests: make(map[Shard]bool), listUntil: make(map[Shard]time.Time), started: time.Now(),
	}
	dispatches := &dispatcher{run: options.Local.Dispatch, panics: options.Panics}
	options.Local.OnWaiting(dispatches.wake)
	return c
}

// PlaceResult is the outcome of a PlaceRequest.
type PlaceResult struct {
	Choice  placement.Choice
	Refusal *placement.Refusal
	// Placement is set for a choice; its PrefillDone and End must be called.
	Placement *Placement
	// Scheduler is the address of the instance that replied.
	Scheduler string
	// Latency is the time from the request to the reply.
	Latency time.Duration
	// Waiting is true if a request with Terms is still waiting. It leaves the queue unless it is placed again, with the same
	// number and shard, or once Placement.End is called.
	Waiting bool
	// Queues is true if the scheduler has a wait queue, and has considered it.
	Queues bool
	// Held is a lower bound of the time from the request to the decision.
	Held time.Duration
}

// Enabled reports whether the fleet is large enough to place requests through schedulers.
func (c *Client) Enabled(now time.Time) bool {
	_, ok := c.options.Members.Scheduler(0, now)
	return ok
}

// Place sends a request to the scheduler of a shard. It returns false if there was no usable reply.
func (c *Client) Place(ctx context.Context, request PlaceRequest) (PlaceResult, bool) {
	start := time.Now()
	if request.Terms != nil {
		return c.placeOrWait(ctx, request, start)
	}
	address, ok := c.options.Members.Scheduler(request.Shard.key(), start)
	if !ok || !c.isAvailable(address, start) {
		return PlaceResult{}, false
	}
	request.From = c.options.Self
	c.ensureSynced(request.Shard, address)
	result, ok := c.placeAt(ctx, address, &request)
	result.Scheduler, result.Latency = address, time.Since(start)
	return result, ok
}

func (c *Client) placeAt(ctx context.Context, address string, request *PlaceRequest) (PlaceResult, bool) {
	placed := &Placement{client: c, scheduler: address, shard: request.Shard, number: request.Number}
	if address == c.options.Self {
		choice, refusal, ok := c.options.Local.Place(*request, time.Now())
		return PlaceResult{Choice: choice, Refusal: refusal, Placement: placed}, ok
	}
	reply, err := c.call(ctx, address, request)
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
	switch {
	case reply.NotReady:
		c.backOff(address, notReadyBackOff)
		return PlaceResult{}, false
	case !reply.Placed:
		return PlaceResult{Refusal: refusalOf(reply)}, true
	}
	choice, complete := choiceOf(reply, c.options.State.Snapshot().ByKey, request.Shard.Service)
	if !complete {
		placed.End()
	}
	return PlaceResult{Choice: choice, Placement: placed}, complete
}

func (c *Client) call(ctx context.Context, address string, request *PlaceRequest) (*peer.PlaceReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var reply peer.PlaceReply
	err := c.options.Peers.Call(callCtx, address, peer.KindPlaceRequest, messageWithReturns(request), &reply)
	switch {
	case err == nil:
		c.recordReply(address)
	case ctx.Err() == nil:
		c.recordFailure(address, err)
	}
	return &reply, err
}

func (c *Client) schedulerState(address string) *schedulerState {
	state := c.schedulers[address]
	if state == nil {
		state = &schedulerState{}
		c.schedulers[address] = state
	}
	return state
}

func (c *Client) isAvailable(address string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !now.Before(c.schedulerState(address).backOffUntil)
}

func (c *Client) backOff(address string, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.schedulerState(address).backOffUntil = time.Now().Add(delay)
}

func (c *Client) recordReply(address string) {
	c.mu.Lock()
	state := c.schedulerState(address)
	recovered := state.backOff > 0
	state.backOff = 0
	c.mu.Unlock()
	if recovered {
		c.options.Log.Info().Str("dependency", "scheduler").Str("address", address).Msg("dependency_back")
	}
}

// recordFailure starts a back-off of an unresponsive scheduler. It also closes the connection, which may have failed
// without an error. The next request opens a new connection.
func (c *Client) recordFailure(address string, err error) {
	c.mu.Lock()
	state := c.schedulerState(address)
	first := state.backOff == 0
	state.backOff = min(max(2*state.backOff, minBackOff), maxBackOff)
	state.backOffUntil = time.Now().Add(state.backOff)
	c.mu.Unlock()
	c.options.Peers.Disconnect(address)
	if first {
		c.options.Log.Warn().Str("dependency", "scheduler").Str("address", address).Err(err).Msg("dependency_lost")
	}
}

func (c *Client) send(address string, kind peer.Kind, body any) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	err := c.options.Peers.Send(ctx, address, kind, body)
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		// The next list includes the change that this message reported.
		c.options.Log.Debug().Str("address", address).Err(err).Msg("placement_not_told")
	}
}

// Serve sends the lists of this instance's requests and deletes outdated state of the local scheduler every syncInterval
// until the context ends. It collects the lists of the other instances when the local scheduler gets a new shard.
func (c *Client) Serve(ctx context.Context) error {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case shard := <-c.options.Local.Created():
			c.startScheduling(ctx, shard, time.Now())
		case now := <-ticker.C:
			c.tick(now)
		}
	}
}

// startScheduling requests the lists of all live instances for a new shard of the local scheduler. They may still take a
// failed instance for the scheduler: contact by way of aggregators ends up to some seconds later. Without this, the local
// scheduler would end its warm-up without their requests and use slots twice. If the scheduler is another instance,
// startScheduling deletes the shard, so that the state is created again, and collected, once this instance is the scheduler.
func (c *Client) startScheduling(ctx context.Context, shard Shard, now time.Time) {
	c.resign(now)
	if !c.isScheduler(shard, now) && !c.options.Local.isStandIn(shard, now) || now.Sub(c.started) < discoveryTime {
		return
	}
	c.collectAll(ctx, shard, now)
}

// collect requests the list of an instance's requests on a shard and applies it to the local scheduler. It returns false if the
// instance did not reply.
func (c *Client) collect(ctx context.Context, shard Shard, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	var list peer.PlaceSync
	err := c.options.Peers.Call(ctx, address, peer.KindPlaceCollect, peer.PlaceCollect{Shard: shard.message()}, &list)
	if err != nil {
		c.options.Log.Debug().Str("address", address).Err(err).Msg("placements_not_collected")
		return false
	}
	logInvalid(c.options.Log, &c.rejections, address, list.RemoveInvalid())
	requests := requestStatesOf(list.Works, c.options.State.Snapshot().ByKey)
	c.options.Local.Sync(shard, address, requests, time.Now())
	return true
}

// isScheduler reports whether this instance is the scheduler of a shard.
func (c *Client) isScheduler(shard Shard, now time.Time) bool {
	address, ok := c.options.Members.Scheduler(shard.key(), now)
	return ok && address == c.options.Self
}

// resign deletes the shards of the local scheduler whose scheduler is another instance.
func (c *Client) resign(now time.Time) {
	c.options.Local.Resign(func(shard Shard) bool { return c.isScheduler(shard, now) }, now)
}

func (c *Client) tick(now time.Time) {
	members := c.options.Members
	c.options.Local.Forget(func(address string) bool {
		return address == c.options.Self || members.IsLive(address, now)
	}, now)
	c.resign(now)
	for _, shard := range c.shards() {
		address, ok := members.Scheduler(shard.key(), now)
		if ok {
			c.syncShard(shard, address, now)
		}
	}
}

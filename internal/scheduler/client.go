package scheduler

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/placement"
)

const (
	// askTimeout bounds one ask. A scheduler on a small machine may have to wait for its processor.
	askTimeout = 80 * time.Millisecond
	// firstSilence is how long a scheduler is not asked after it left an ask unanswered; it doubles up to maxSilence.
	firstSilence = 250 * time.Millisecond
	maxSilence   = 2 * time.Second
	// unreadyPause is how long a scheduler is not asked after it said that it does not know its shard.
	unreadyPause = 200 * time.Millisecond
	// syncInterval is the pause between two lists of the own work.
	syncInterval = time.Second
	// noticeTimeout bounds the sending of one notice or list.
	noticeTimeout = 5 * time.Millisecond
)

// Peers sends messages to other instances.
type Peers interface {
	Call(ctx context.Context, address string, kind peer.Kind, body, out any) error
	Send(ctx context.Context, address string, kind peer.Kind, body any) error
	Disconnect(address string)
}

// Members knows the live instances.
type Members interface {
	// Scheduler returns the instance that all who know the same instances choose for a key, this one included. It reports
	// false if the fleet is so small that no scheduler is needed.
	Scheduler(key uint64, now time.Time) (address string, ok bool)
	// IsLive reports whether an instance has shown a recent sign of life.
	IsLive(address string, now time.Time) bool
}

// ClientOptions configures a Client.
type ClientOptions struct {
	// Self is the own peers' address.
	Self    string
	Peers   Peers
	Members Members
	Local   *Scheduler
	Load    *load.Tracker
	State   *fleet.State
	Log     zerolog.Logger
}

// line is what this instance knows of another one as a scheduler.
type line struct {
	// silentUntil is the time until which it is not asked, silence the length of that pause.
	silentUntil time.Time
	silence     time.Duration
}

// Client asks the schedulers of the shards, and tells them of this instance's work.
type Client struct {
	options ClientOptions

	mu    sync.Mutex
	lines map[string]*line
	// told is the scheduler that has last got a list of the own work on a shard.
	told map[Shard]string
	// listed is true for shards whose last list was not empty.
	listed map[Shard]bool
}

// NewClient returns a client.
func NewClient(options ClientOptions) *Client {
	return &Client{
		options: options, lines: make(map[string]*line), told: make(map[Shard]string), listed: make(map[Shard]bool),
	}
}

// PlaceResult is the outcome of a PlaceRequest.
type PlaceResult struct {
	Choice  placement.Choice
	Refusal *placement.Refusal
	// Placement is set for a choice; its PrefillDone and End must be called.
	Placement *Placement
	// Scheduler is the address of the instance that has replied.
	Scheduler string
	// Latency is the time from the request to the reply.
	Latency time.Duration
}

// Enabled reports whether schedulers place the requests now.
func (c *Client) Enabled(now time.Time) bool {
	_, ok := c.options.Members.Scheduler(0, now)
	return ok
}

// Place sends a request to the scheduler of a shard. It reports false if there was no usable reply.
func (c *Client) Place(ctx context.Context, ask PlaceRequest) (PlaceResult, bool) {
	began := time.Now()
	address, ok := c.options.Members.Scheduler(ask.Shard.key(), began)
	if !ok || !c.mayAsk(address, began) {
		return PlaceResult{}, false
	}
	ask.From = c.options.Self
	c.introduce(ask.Shard, address)
	answer, ok := c.askAt(ctx, address, &ask)
	answer.Scheduler, answer.Latency = address, time.Since(began)
	return answer, ok
}

func (c *Client) askAt(ctx context.Context, address string, ask *PlaceRequest) (PlaceResult, bool) {
	grant := &Placement{client: c, scheduler: address, shard: ask.Shard, number: ask.Number}
	if address == c.options.Self {
		choice, refusal, ok := c.options.Local.Place(*ask, time.Now())
		return PlaceResult{Choice: choice, Refusal: refusal, Placement: grant}, ok
	}
	reply, err := c.call(ctx, address, ask)
	if err != nil {
		// The scheduler may have placed the request before its answer was lost.
		grant.End()
		return PlaceResult{}, false
	}
	switch {
	case reply.NotReady:
		c.pause(address, unreadyPause)
		return PlaceResult{}, false
	case !reply.Placed:
		return PlaceResult{Refusal: refusalOf(reply)}, true
	}
	choice, whole := choiceOf(reply, c.options.State.Snapshot().ByKey)
	if !whole {
		grant.End()
	}
	return PlaceResult{Choice: choice, Placement: grant}, whole
}

func (c *Client) call(ctx context.Context, address string, ask *PlaceRequest) (*peer.PlaceReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var reply peer.PlaceReply
	err := c.options.Peers.Call(callCtx, address, peer.KindPlaceRequest, askMessage(ask), &reply)
	switch {
	case err == nil:
		c.noteAnswer(address)
	case ctx.Err() == nil:
		c.noteSilence(address, err)
	}
	return &reply, err
}

func (c *Client) line(address string) *line {
	l := c.lines[address]
	if l == nil {
		l = &line{}
		c.lines[address] = l
	}
	return l
}

func (c *Client) mayAsk(address string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !now.Before(c.line(address).silentUntil)
}

func (c *Client) pause(address string, pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.line(address).silentUntil = time.Now().Add(pause)
}

func (c *Client) noteAnswer(address string) {
	c.mu.Lock()
	l := c.line(address)
	back := l.silence > 0
	l.silence = 0
	c.mu.Unlock()
	if back {
		c.options.Log.Info().Str("dependency", "scheduler").Str("address", address).Msg("dependency_back")
	}
}

// noteSilence keeps a silent scheduler from being asked for a while. Its connection may be dead without a word, so that
// the next ask opens a new one.
func (c *Client) noteSilence(address string, err error) {
	c.mu.Lock()
	l := c.line(address)
	first := l.silence == 0
	l.silence = min(max(2*l.silence, firstSilence), maxSilence)
	l.silentUntil = time.Now().Add(l.silence)
	c.mu.Unlock()
	c.options.Peers.Disconnect(address)
	if first {
		c.options.Log.Warn().Str("dependency", "scheduler").Str("address", address).Err(err).Msg("dependency_lost")
	}
}

// introduce lists the own work on a shard to a scheduler that has not got a list yet.
func (c *Client) introduce(shard Shard, address string) {
	c.mu.Lock()
	known := c.told[shard] == address
	c.told[shard] = address
	c.mu.Unlock()
	if !known {
		c.sync(shard, address, c.worksOn(shard, time.Now()))
	}
}

func (c *Client) worksOn(shard Shard, now time.Time) []load.RequestState {
	var works []load.RequestState
	for _, p := range c.options.Load.Requests(now) {
		if p.Work.Primary.Service != "" && shard.Service == serviceKey(p.Work.Primary) && touches(shard, &p.Work) {
			works = append(works, p)
		}
	}
	return works
}

// touches reports whether work uses an endpoint of the shard.
func touches(shard Shard, w *load.Work) bool {
	if shard.Contains(w.Primary) {
		return true
	}
	for _, e := range w.Helpers {
		if shard.Contains(e) {
			return true
		}
	}
	return false
}

func serviceKey(e *fleet.Endpoint) uint32 { return (&fleet.Service{Name: e.Service}).Key() }

func (c *Client) sync(shard Shard, address string, works []load.RequestState) {
	if address == c.options.Self {
		c.options.Local.Sync(shard, c.options.Self, works, time.Now())
		return
	}
	message := peer.PlaceSync{From: c.options.Self, Shard: shard.message()}
	for i := range works {
		message.Works = append(message.Works, workMessage(&works[i]))
	}
	c.send(address, peer.KindPlaceSync, message)
}

func (c *Client) send(address string, kind peer.Kind, body any) {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	err := c.options.Peers.Send(ctx, address, kind, body)
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		// The next list makes up for it.
		c.options.Log.Debug().Str("address", address).Err(err).Msg("placement_not_told")
	}
}

// Serve lists the own work to the schedulers now and then, until the context ends.
func (c *Client) Serve(ctx context.Context) error {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			c.tick(now)
		}
	}
}

func (c *Client) tick(now time.Time) {
	members := c.options.Members
	c.options.Local.Forget(func(address string) bool {
		return address == c.options.Self || members.IsLive(address, now)
	}, now)
	c.options.Local.Resign(func(shard Shard) bool {
		address, ok := members.Scheduler(shard.key(), now)
		return ok && address == c.options.Self
	})
	for _, shard := range c.shards() {
		address, ok := members.Scheduler(shard.key(), now)
		if ok {
			c.syncShard(shard, address, now)
		}
	}
}

// shards returns all shards of the model services.
func (c *Client) shards() []Shard {
	snapshot := c.options.State.Snapshot()
	if snapshot.Catalog == nil {
		return nil
	}
	var all []Shard
	for name, service := range snapshot.Catalog.Services {
		count := ShardCount(len(snapshot.Endpoints[name]))
		if service.Engine == nil {
			continue
		}
		for index := range count {
			all = append(all, Shard{Service: service.Key(), Index: index, Count: count})
		}
	}
	return all
}

// syncShard lists the own work unless there is none, as the scheduler knows from the last list.
func (c *Client) syncShard(shard Shard, address string, now time.Time) {
	works := c.worksOn(shard, now)
	c.mu.Lock()
	due := len(works) > 0 || c.listed[shard] || c.told[shard] != address
	c.told[shard], c.listed[shard] = address, len(works) > 0
	c.mu.Unlock()
	if due {
		c.sync(shard, address, works)
	}
}

// Placement is a request that a scheduler has placed.
type Placement struct {
	client    *Client
	scheduler string
	shard     Shard
	number    load.Number
}

// PrefillDone informs the scheduler that the prefill is done.
func (g *Placement) PrefillDone() { g.notify(false) }

// End informs the scheduler that the request has ended.
func (g *Placement) End() { g.notify(true) }

func (g *Placement) notify(ended bool) {
	if g == nil {
		return
	}
	c := g.client
	switch {
	case g.scheduler != c.options.Self:
		c.send(g.scheduler, peer.KindPlaceUpdate, peer.PlaceUpdate{
			From: c.options.Self, Number: uint64(g.number), Shard: g.shard.message(), Ended: ended,
		})
	case ended:
		c.options.Local.End(g.shard, c.options.Self, g.number)
	default:
		c.options.Local.PrefillDone(g.shard, c.options.Self, g.number)
	}
}

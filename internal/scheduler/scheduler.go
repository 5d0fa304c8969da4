package scheduler

import (
	"slices"
	"sync"
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/limit"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/placement"
)

const (
	// learnTime is how long a new scheduler listens before it places: all instances tell it their work meanwhile.
	learnTime = time.Second
	// transitTime is how long a placement may be on its way to the instance that asked.
	transitTime = 500 * time.Millisecond
	// overtime is how long work is kept after the end of its time.
	overtime = time.Second
	// suspectTime is how long an endpoint is suspected after an instance has said so.
	suspectTime = time.Second
	// unheardTime is how long a scheduler that hears from nobody still counts as informed.
	unheardTime = 30 * time.Second
)

// PlaceRequest asks a scheduler to place a request.
type PlaceRequest struct {
	From   string
	Number load.Number
	Shard  Shard
	Need   placement.Need
	// Limit is what is left of the time of the request.
	Limit time.Duration
	// Avoid lists endpoints that must not be chosen.
	Avoid []uint32
	// Suspects lists endpoints that fail requests of the instance that asks.
	Suspects []uint32
}

// placedKey identifies work of an instance.
type placedKey struct {
	from   string
	number load.Number
}

// placed is work on a shard.
type placed struct {
	holding *load.Request
	at      time.Time
	until   time.Time
}

// shardLedger is what a scheduler knows of one shard.
type shardLedger struct {
	book  *load.Tracker
	works map[placedKey]*placed
	// since is when this instance began to hear of the shard, heard the last message.
	since, heard time.Time
}

// Options configures a Scheduler.
type Options struct {
	State *fleet.State
	// IsSuspect reports whether this instance avoids an endpoint.
	IsSuspect func(endpoint uint32, now time.Time) bool
	// ColdLimiter grants requests to endpoints in cold start.
	ColdLimiter *limit.FleetColdLimiter
	Planner     placement.Planner
}

// Scheduler keeps the work on the shards of which this instance is the scheduler, and places requests there. It does no
// I/O and is safe for concurrent use.
type Scheduler struct {
	mu       sync.Mutex
	options  Options
	shards   map[Shard]*shardLedger
	suspects map[uint32]time.Time
}

// NewScheduler returns a scheduler that knows no work yet.
func NewScheduler(options Options) *Scheduler {
	return &Scheduler{options: options, shards: make(map[Shard]*shardLedger), suspects: make(map[uint32]time.Time)}
}

// Place places a request and counts it from now on. It reports false if this instance cannot tell, because it has not
// heard of the shard for long enough or does not know its endpoints.
func (l *Scheduler) Place(ask PlaceRequest, now time.Time) (placement.Choice, *placement.Refusal, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shard(ask.Shard, now)
	for _, endpoint := range ask.Suspects {
		l.suspects[endpoint] = now.Add(suspectTime)
	}
	snapshot := l.options.State.Snapshot()
	if snapshot.Catalog == nil || now.Sub(s.since) < learnTime {
		return placement.Choice{}, nil, false
	}
	service := snapshot.Catalog.ServiceByKey(ask.Shard.Service)
	if service == nil || service.Engine == nil {
		return placement.Choice{}, nil, false
	}
	s.expire(now)
	ask.Need.Exact = true
	choice, refusal := l.options.Planner.PlaceModel(service.Engine, l.candidates(snapshot, service, s, &ask, now), ask.Need)
	switch {
	case refusal != nil && refusal.Reason == placement.NoEndpoint:
		return choice, nil, false
	case refusal == nil && !l.takeCold(service, choice.Primary, now):
		return choice, nil, false
	case refusal == nil:
		s.add(placedKey{from: ask.From, number: ask.Number}, choice.Work(ask.Need, ask.Limit), now, ask.Limit)
	}
	return choice, refusal, true
}

// takeCold counts a request against the cold start of its endpoint and reports whether it may be sent.
func (l *Scheduler) takeCold(service *fleet.Service, e *fleet.Endpoint, now time.Time) bool {
	return service.ColdRate <= 0 || !e.IsCold(now) || l.options.ColdLimiter.Take(e.Key(), service.ColdRate, now)
}

// candidates returns the endpoints of the shard that may get the request.
func (l *Scheduler) candidates(
	snapshot *fleet.Snapshot, service *fleet.Service, s *shardLedger, ask *PlaceRequest, now time.Time,
) []placement.Candidate {
	totals, _ := s.book.Totals(now)
	candidates := make([]placement.Candidate, 0, len(snapshot.Endpoints[service.Name]))
	for _, e := range snapshot.Endpoints[service.Name] {
		key := e.Key()
		if e.Leaving || !ask.Shard.Contains(e) || snapshot.OutOfService[e.Domain] || slices.Contains(ask.Avoid, key) {
			continue
		}
		c := placement.Candidate{Endpoint: e, Entry: totals.Entries[key]}
		c.Suspect = now.Before(l.suspects[key]) || l.options.IsSuspect(key, now)
		c.Cold = service.ColdRate > 0 && e.IsCold(now)
		if c.Cold && !l.options.ColdLimiter.Allows(key, service.ColdRate, now) {
			continue
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// PrefillDone records that the prefill of a placed request is done.
func (l *Scheduler) PrefillDone(shard Shard, from string, number load.Number) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.find(shard, from, number); p != nil {
		p.holding.PrefillDone()
	}
}

// End notes that a placed request has ended.
func (l *Scheduler) End(shard Shard, from string, number load.Number) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.shards[shard]; s != nil {
		s.remove(placedKey{from: from, number: number})
	}
}

func (l *Scheduler) find(shard Shard, from string, number load.Number) *placed {
	s := l.shards[shard]
	if s == nil {
		return nil
	}
	return s.works[placedKey{from: from, number: number}]
}

// Sync takes over the list of all requests of an instance on a shard. Others of that instance have ended, unless their
// placement may still be on its way.
func (l *Scheduler) Sync(shard Shard, from string, works []load.RequestState, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shard(shard, now)
	listed := make(map[load.Number]bool, len(works))
	for _, w := range works {
		listed[w.Number] = true
		s.learn(placedKey{from: from, number: w.Number}, w, now)
	}
	for key, p := range s.works {
		if key.from == from && !listed[key.number] && now.Sub(p.at) > transitTime {
			s.remove(key)
		}
	}
}

// Forget drops the work of instances that are gone, and shards that nobody speaks of any more.
func (l *Scheduler) Forget(isLive func(instance string) bool, now time.Time) {
	l.options.ColdLimiter.Forget(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	for shard, s := range l.shards {
		for key := range s.works {
			if !isLive(key.from) {
				s.remove(key)
			}
		}
		s.expire(now)
		if now.Sub(s.heard) > unheardTime {
			delete(l.shards, shard)
		}
	}
	for endpoint, until := range l.suspects {
		if now.After(until) {
			delete(l.suspects, endpoint)
		}
	}
}

// Resign forgets a shard of which another instance is the scheduler. This one has to listen again before it places there.
func (l *Scheduler) Resign(isScheduler func(Shard) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for shard := range l.shards {
		if !isScheduler(shard) {
			delete(l.shards, shard)
		}
	}
}

// shard returns the work of a shard of which a message arrived now.
func (l *Scheduler) shard(shard Shard, now time.Time) *shardLedger {
	s := l.shards[shard]
	if s == nil {
		s = &shardLedger{book: load.NewTracker(), works: make(map[placedKey]*placed), since: now}
		l.shards[shard] = s
	}
	s.heard = now
	return s
}

func (s *shardLedger) add(key placedKey, work load.Work, at time.Time, limit time.Duration) *placed {
	s.remove(key)
	p := &placed{holding: s.book.AddNumbered(key.number, work, at), at: at, until: at.Add(limit + overtime)}
	s.works[key] = p
	return p
}

// learn takes over work that an instance has listed.
func (s *shardLedger) learn(key placedKey, w load.RequestState, now time.Time) {
	p := s.works[key]
	if p == nil {
		p = s.add(key, w.Work, now.Add(-w.Elapsed), w.Work.Limit)
	}
	if w.PrefillDone {
		p.holding.PrefillDone()
	}
}

func (s *shardLedger) remove(key placedKey) {
	if p := s.works[key]; p != nil {
		p.holding.End()
		delete(s.works, key)
	}
}

// expire removes work whose time is over. Its end was not told.
func (s *shardLedger) expire(now time.Time) {
	for key, p := range s.works {
		if now.After(p.until) {
			s.remove(key)
		}
	}
}

// Package loadshare exchanges between the entry instances what each of them has placed on endpoints and what the
// platform has published. Up to 13 instances send to each other directly; in a larger fleet some instances act as
// aggregators. An instance without contact to any other continues with its own counts.
package loadshare

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/acacialift/acacialift/internal/clock"
	"github.com/acacialift/acacialift/internal/health"
	"github.com/acacialift/acacialift/internal/limit"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/panics"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/published"
	"github.com/acacialift/acacialift/internal/quarantine"
)

const (
	// sendInterval is the time between two messages while the local counts change, idleInterval while they do not,
	// and aggregatorInterval between two messages from and to an aggregator. In fleets with aggregators, requests are
	// placed by schedulers, which receive each placement at once; these counts are used only while a scheduler is
	// unresponsive.
	sendInterval       = 60 * time.Millisecond
	idleInterval       = 400 * time.Millisecond
	aggregatorInterval = 200 * time.Millisecond
	// aggregatorByteRate bounds the bytes that an aggregator sends in a second, to a fraction of the slowest links.
	// Larger messages are sent at longer intervals, up to maxAggregatorInterval; at even longer intervals members
	// would choose another aggregator.
	aggregatorByteRate    = 1_000_000
	maxAggregatorInterval = 400 * time.Millisecond
	// listInterval is the time between two lists of the live instances and of the endpoints' request rates.
	listInterval = time.Second
	// sendTimeout bounds the time to send one message. If a connection is still being opened, the next message uses
	// it.
	sendTimeout = 2 * time.Millisecond
	// reconnectTimeout bounds a message on a new connection to an unresponsive instance. It is shorter than
	// reconnectInterval, because the next attempt closes the connection.
	reconnectTimeout = 600 * time.Millisecond
	// memberTimeout is how long an aggregator continues to send to an instance without a further message from it.
	memberTimeout = 1500 * time.Millisecond
	// totalsName is the name under which a member stores the totals of its aggregator, the same for any aggregator.
	totalsName = "hub"
	// groupPrefix is the prefix of the name under which an aggregator stores the counts of another aggregator.
	groupPrefix = "group:"
)

// Options configures a Sharer.
type Options struct {
	// Address is the local peer address, on which this process listens.
	Address string
	// Seeds are addresses of instances that may be up; the local address may be among them.
	Seeds []string
	// Key is the shared secret of the peer port.
	Key string
	// Instance is the name of this instance.
	Instance string
	Load     *load.Tracker
	Health   *health.Tracker
	// Rates holds the request rates that endpoints name.
	Rates *limit.RateLimiter
	// Quarantine holds the evidence about parts of prompts under which endpoints crash; the default is an empty one.
	Quarantine *quarantine.Tracker
	// EndpointID returns the id of the endpoint with a key, for the log; empty if it is not known.
	EndpointID func(key uint32) string
	// Capacity is the number of cores that this instance may use; zero if it is not known. Instances with a higher
	// capacity are preferred as aggregators and schedulers.
	Capacity float64
	// Placements handles messages about placements; it may be nil.
	Placements MessageHandler
	// Feed provides and applies what the platform has published; it may be nil.
	Feed Feed
	// Catalog provides and confirms the local catalog; it may be nil.
	Catalog CatalogState
	Log     zerolog.Logger
	// Panics records panics in the handling of messages; the default only logs them.
	Panics *panics.Recorder
	// Pauses is told in each round that this process runs; it may be nil.
	Pauses *clock.PauseDetector
}

// MessageHandler handles messages of other instances. It must not block.
type MessageHandler interface {
	// Handle returns the kind and body of the reply; a nil body sends none.
	Handle(from peer.Hello, envelope *peer.Envelope) (peer.Kind, any)
}

// Feed holds the local state of what the platform has published. Its methods must not block.
type Feed interface {
	// Position returns the point up to which all changes are known, and the boot-time at which that was confirmed.
	Position() (position published.Position, confirmed time.Duration)
	// UpdateAfter returns what an instance at a position needs, and false if some changes may no longer be known.
	UpdateAfter(after published.Position) (published.Update, bool)
	// Accept applies an update up to a position, confirmed at a boot-time of this instance.
	Accept(update published.Update, position published.Position, confirmed time.Duration)
	// Retained returns what is known from earlier eras and held to be newer than the current content, and a hash of it that is
	// 0 if there is nothing.
	Retained() (items []published.Item, digest uint64)
	// AcceptRetained applies what another instance retains.
	AcceptRetained(items []published.Item)
	// SetWatching states whether this instance watches the platform for others.
	SetWatching(watching bool)
}

// periodicLists holds what is sent once per listInterval.
type periodicLists struct {
	// due is false between two lists; the lists are empty then.
	due bool
	// direct holds the live instances in direct contact, indirect those in indirect contact only.
	direct, indirect []peer.Member
	// parts holds the evidence about parts of prompts that is due. It may be due between two lists.
	parts []quarantine.Evidence
}

func (l periodicLists) all() []peer.Member { return append(slices.Clone(l.direct), l.indirect...) }

// Sharer sends and receives the messages.
type Sharer struct {
	options    Options
	node       *peer.Node
	rejections peer.Rejections

	mu     sync.Mutex
	roster *roster
	// group holds the instances that have sent this one their local counts.
	group map[string]*recipient
	// otherAggregators holds the aggregators that have sent this one the counts of their groups.
	otherAggregators map[string]*recipient
	// aggregator is what the last message of this instance's aggregator has stated; nil if there was none.
	aggregator *recipient

	// roundInterval is the time between two rounds of messages of this instance as an aggregator. totalsInterval is
	// the mean time between two messages from this instance's aggregator, the last of which arrived at
	// totalsReceivedAt.
	roundInterval    time.Duration
	totalsInterval   time.Duration
	totalsReceivedAt time.Time

	// sentParts is the value of quarantine.Tracker.Changes up to which the evidence was sent, and listedParts its value at the
	// last periodic lists. All evidence was sent at allPartsSentAt.
	sentParts, listedParts uint64
	allPartsSentAt         time.Time

	sentChanges uint64
	sentAt      time.Time
	listsSentAt time.Time
}

// New starts listening on the peer port.
func New(options Options) (*Sharer, error) {
	if options.Quarantine == nil {
		options.Quarantine = quarantine.NewTracker()
	}
	if options.Panics == nil {
		options.Panics = panics.NewRecorder(options.Log, func() {})
	}
	s := &Sharer{
		options:          options,
		roster:           newRoster(options.Address, capacityOf(options.Capacity)),
		group:            make(map[string]*recipient),
		otherAggregators: make(map[string]*recipient),
	}
	s.AddSeeds(options.Seeds)
	node, err := peer.NewNode(peer.Options{
		Listen: options.Address,
		Self: peer.Hello{
			Key: options.Key, Name: options.Instance, Incarnation: time.Now().UnixMilli(), Role: peer.RoleEntry,
		},
		Handler: s,
		Events:  s,
	})
	if err != nil {
		return nil, err
	}
	s.node = node
	return s, nil
}

// AddSeeds adds addresses of instances that may be up.
func (s *Sharer) AddSeeds(seeds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, seed := range seeds {
		s.roster.addSeed(seed)
	}
}

// capacityOf returns a number of cores in the unit of peer.Member.Capacity.
func capacityOf(cores float64) uint8 {
	const hundredths = 100
	return uint8(min(max(cores*hundredths, 0), peer.MaxCapacity))
}

// StartLeaving announces that this instance stops. It is no longer chosen as scheduler or aggregator.
func (s *Sharer) StartLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.capacity = peer.LeavingCapacity
	clear(s.roster.schedulers)
}

// Node returns the connections to other instances.
func (s *Sharer) Node() *peer.Node { return s.node }

// Scheduler implements scheduler.Members.
func (s *Sharer) Scheduler(key uint64, now time.Time) (address string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.roster.isFullMesh(now) {
		return "", false
	}
	return s.roster.scheduler(key, now), true
}

// NextScheduler implements scheduler.Members.
func (s *Sharer) NextScheduler(key uint64, failed string, now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.schedulerWithout(key, failed, now)
}

// HasMajority reports whether the live instances are more than half of the largest number of instances ever known. That
// number comes from this instance or any other.
func (s *Sharer) HasMajority(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 2*(s.roster.countLive(now)+1) > s.roster.largestFleet
}

// IsLive implements scheduler.Members.
func (s *Sharer) IsLive(address string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.roster.members[address]
	return m != nil && m.isLive(now)
}

// Live implements scheduler.Members.
func (s *Sharer) Live(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var live []string
	for address, m := range s.roster.members {
		if m.isLive(now) {
			live = append(live, address)
		}
	}
	return live
}

// LiveCount returns the number of other instances that are live.
func (s *Sharer) LiveCount(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.countLive(now)
}

// CountsAge returns the greatest age of the peer counts in normal operation. In a full mesh that is the interval of
// one message; with aggregators it is the sum of the intervals from a member, between aggregators and to a member.
func (s *Sharer) CountsAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.roster.isFullMesh(now) {
		return sendInterval
	}
	return aggregatorInterval + 2*max(aggregatorInterval, s.roundInterval, s.totalsInterval)
}

// updateTotalsInterval updates the mean time between the aggregator's messages, without counting outages. It must be
// called with the mutex held.
func (s *Sharer) updateTotalsInterval(now time.Time) {
	const weight = 8
	if interval := now.Sub(s.totalsReceivedAt); interval < 2*maxAggregatorInterval {
		s.totalsInterval += (interval - s.totalsInterval) / weight
	}
	s.totalsReceivedAt = now
}

// endpointID returns the id of the endpoint with a key for the log; empty if it is not known.
func (s *Sharer) endpointID(key uint32) string {
	if s.options.EndpointID == nil {
		return ""
	}
	return s.options.EndpointID(key)
}

// Refused implements peer.Events.
func (s *Sharer) Refused(remote, reason string) {
	s.options.Log.Warn().Str("remote", remote).Str("reason", reason).Msg("peer_refused")
}

// Serve sends messages until the context ends.
func (s *Sharer) Serve(ctx context.Context) error {
	defer s.node.Close()
	timer := time.NewTimer(sendInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-timer.C:
			timer.Reset(s.tick(ctx, now))
		}
	}
}

// tick sends the messages that are due and returns the time until the next call.
func (s *Sharer) tick(ctx context.Context, now time.Time) time.Duration {
	if s.options.Pauses != nil {
		s.options.Pauses.Observe()
	}
	next := sendInterval
	// After a panic, the supervisor would start Serve again, but its connections were closed.
	s.options.Panics.Recover("messages to peers", func() { next = s.sendRound(ctx, now) })
	return next
}

// sendRound sends the messages that are due and returns the time until the next round.
func (s *Sharer) sendRound(ctx context.Context, now time.Time) time.Duration {
	if !s.updateRoster(now) {
		s.sendViaAggregators(ctx, s.listsIfDue(now), now)
		return max(aggregatorInterval, s.roundInterval)
	}
	s.setWatching(false)
	changes := s.options.Load.Changes()
	if changes == s.sentChanges && !s.hasNewParts() && now.Sub(s.sentAt) < idleInterval-sendInterval/2 {
		return sendInterval
	}
	s.sentChanges, s.sentAt = changes, now
	s.sendDirect(ctx, s.listsIfDue(now), now)
	return sendInterval
}

// updateRoster removes instances without contact. It reports whether all instances send to each other.
func (s *Sharer) updateRoster(now time.Time) (fullMesh bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireMembers(now)
	s.roster.largestFleet = max(s.roster.largestFleet, s.roster.countLive(now)+1)
	return s.roster.isFullMesh(now)
}

// listsIfDue returns the live instances if the next message should carry them, and empty lists otherwise.
func (s *Sharer) listsIfDue(now time.Time) (lists periodicLists) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.listsSentAt) >= listInterval {
		s.listsSentAt = now
		lists.due = true
		lists.direct, lists.indirect = s.roster.liveMembers(now)
	}
	lists.parts = s.partsIfDue(lists.due, now)
	return lists
}

// expireMembers must be called with the mutex held.
func (s *Sharer) expireMembers(now time.Time) {
	for _, address := range s.roster.newlyUnresponsive(now) {
		s.options.Log.Warn().Str("dependency", "peer").Str("address", address).Msg("dependency_lost")
		s.node.Disconnect(address)
	}
	for _, address := range s.roster.removeUnresponsive(now) {
		s.node.Disconnect(address)
	}
	for _, members := range []map[string]*recipient{s.group, s.otherAggregators} {
		for address, m := range members {
			if now.Sub(m.received) > memberTimeout {
				delete(members, address)
			}
		}
	}
}

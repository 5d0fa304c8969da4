// Package loadshare tells the entry instances what each of them has placed on endpoints and what the platform has
// published. Up to a dozen instances tell each other directly; in a larger fleet a few of them act as hubs. An instance
// that hears from no other one goes on with its own counts.
package loadshare

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/acacialift/acacialift/internal/clock"
	"github.com/acacialift/acacialift/internal/health"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/published"
)

const (
	// sendInterval is the pause between two messages while the own work changes, idleInterval while it does not, and
	// hubInterval between two messages of and to a hub. Behind hubs schedulers place the requests by what they are told at
	// once, so that these counts only serve when a scheduler is silent.
	sendInterval = 60 * time.Millisecond
	idleInterval = 400 * time.Millisecond
	hubInterval  = 200 * time.Millisecond
	// hubByteRate bounds what a hub sends in a second, to a fraction of the slowest links; larger messages are sent with
	// longer pauses, up to maxHubPause, after which members would look for another hub.
	hubByteRate = 1_000_000
	maxHubPause = 400 * time.Millisecond
	// knownInterval is the pause between two lists of the live instances.
	knownInterval = time.Second
	// sendTimeout bounds one message. A connection that is being opened is ready for the next one.
	sendTimeout = 2 * time.Millisecond
	// reconnectTimeout bounds a message on a connection that is opened anew to a silent instance; the next attempt would
	// close the connection again.
	reconnectTimeout = 600 * time.Millisecond
	// memberLifetime is how long a hub answers an instance without a further message.
	memberLifetime = 1500 * time.Millisecond
	// hubShare is the name under which a member keeps the totals of its hub, whichever that is.
	hubShare = "hub"
	// groupShare is the prefix of the name under which a hub keeps the counts of another hub.
	groupShare = "group:"
)

// Options configures a Sharer.
type Options struct {
	// Address is the own peers' address, which this process listens on.
	Address string
	// Seeds are addresses of instances that may be up; the own address may be among them.
	Seeds []string
	// Key is the shared secret of the peers' port.
	Key string
	// Instance is the name of this instance.
	Instance string
	Load     *load.Tracker
	Health   *health.Tracker
	// Capacity is the part of a core that this instance may use; zero if it is not known. Instances with more of it take
	// on more of the common work.
	Capacity float64
	// Placements handles messages about placements; it may be nil.
	Placements MessageHandler
	// Feed takes and gives what the platform has published.
	Feed Feed
	Log  zerolog.Logger
}

// MessageHandler answers messages of other instances. It must not block.
type MessageHandler interface {
	// Handle returns the kind and body of the reply; a nil body sends none.
	Handle(from peer.Hello, envelope *peer.Envelope) (peer.Kind, any)
}

// Feed is what this instance knows of the platform's publications. Its methods must not block.
type Feed interface {
	// Position returns the revision up to which all changes are known, and the boot-time at which that was confirmed.
	Position() (asOf int64, confirmed time.Duration)
	// Since returns the changes after a revision, and false if some may not be known any more.
	Since(after int64) ([]published.Item, bool)
	// Accept takes over changes up to a revision, confirmed at a boot-time of this instance. They are all that is published
	// if this instance knew nothing.
	Accept(items []published.Item, asOf int64, confirmed time.Duration)
	// SetWatching states whether this instance watches the platform for others.
	SetWatching(reading bool)
}

// acquaintances are the live instances that this one has met, and those that others have.
type acquaintances struct {
	met, vouched []peer.Member
}

func (a acquaintances) all() []peer.Member { return append(slices.Clone(a.met), a.vouched...) }

// Sharer sends and receives the messages.
type Sharer struct {
	options Options
	node    *peer.Node

	mu     sync.Mutex
	roster *roster
	group  map[string]*groupMember
	// otherHubs holds the hubs that have told this one the work of their members.
	otherHubs map[string]*groupMember

	// hubPause is the pause between two rounds of messages of this instance as a hub, toldPause the mean pause between
	// those that it receives from its hub at toldAt.
	hubPause  time.Duration
	toldPause time.Duration
	toldAt    time.Time

	sentChanges uint64
	sentAt      time.Time
	knownAt     time.Time
}

// New starts listening on the peers' port.
func New(options Options) (*Sharer, error) {
	s := &Sharer{
		options:   options,
		roster:    newRoster(options.Address, capacityOf(options.Capacity)),
		group:     make(map[string]*groupMember),
		otherHubs: make(map[string]*groupMember),
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

// capacityOf returns a capacity as it is told.
func capacityOf(cores float64) uint8 {
	const hundredths = 100
	return uint8(min(max(cores*hundredths, 0), peer.MaxCapacity))
}

// StartLeaving tells the other instances that this one stops: it becomes neither scheduler nor hub any more.
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
	if s.roster.isDirect(now) {
		return "", false
	}
	return s.roster.scheduler(key, now), true
}

// HasMajority reports whether more than half of the largest fleet that this instance or another one has known is live.
func (s *Sharer) HasMajority(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 2*(s.roster.countLive(now)+1) > s.roster.largest
}

// IsLive implements scheduler.Members.
func (s *Sharer) IsLive(address string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.roster.members[address]
	return m != nil && m.isLive(now)
}

// LiveCount returns the number of other instances that are live.
func (s *Sharer) LiveCount(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.countLive(now)
}

// CountsAge returns the greatest age of the others' counts in calm times: that of one message, or of a message to the
// hub, one between hubs and one from the hub.
func (s *Sharer) CountsAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.roster.isDirect(now) {
		return sendInterval
	}
	return hubInterval + 2*max(hubInterval, s.hubPause, s.toldPause)
}

// noteTold follows the pause between the messages of the hub, apart from outages. It must be called with the mutex held.
func (s *Sharer) noteTold(now time.Time) {
	const weight = 8
	if pause := now.Sub(s.toldAt); pause < 2*maxHubPause {
		s.toldPause += (pause - s.toldPause) / weight
	}
	s.toldAt = now
}

// Refused implements peer.Events.
func (s *Sharer) Refused(remote, reason string) {
	s.options.Log.Warn().Str("remote", remote).Str("reason", reason).Msg("peer_refused")
}

// Handle implements peer.Handler.
func (s *Sharer) Handle(from peer.Hello, envelope *peer.Envelope) (peer.Kind, any) {
	if envelope.Kind != peer.KindLoadShare {
		if s.options.Placements == nil {
			return 0, nil
		}
		return s.options.Placements.Handle(from, envelope)
	}
	var message peer.LoadShare
	if err := envelope.Decode(&message); err != nil {
		s.options.Log.Warn().Str("peer", from.Name).Err(err).Msg("load_share_malformed")
		return 0, nil
	}
	s.receive(&message, time.Now())
	return 0, nil
}

func (s *Sharer) receive(m *peer.LoadShare, now time.Time) {
	name := m.Address
	switch m.Scope {
	case peer.ScopeTotals:
		name = hubShare
		s.acceptPublished(m)
	case peer.ScopeGroup:
		name = groupShare + m.Address
		s.acceptPublished(m)
	}
	s.options.Load.SetPeerCounts(name, countsOf(m), now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.largest = max(s.roster.largest, int(m.LargestFleet))
	if m.Scope == peer.ScopeMember || m.Scope == peer.ScopeOwn {
		// An instance that knows no other one tells its seeds directly; their answer shows it the fleet.
		s.group[m.Address] = &groupMember{
			received: now, stamp: m.Stamp, position: m.Position, chose: m.Scope == peer.ScopeMember,
		}
	}
	if m.Scope == peer.ScopeGroup {
		s.otherHubs[m.Address] = &groupMember{received: now, stamp: m.Stamp, position: m.Position}
	}
	if s.roster.noteMet(peer.Member{Address: m.Address, Capacity: m.Capacity}, now) {
		s.options.Log.Info().Str("dependency", "peer").Str("address", m.Address).Msg("dependency_back")
	}
	if m.Scope == peer.ScopeTotals {
		s.noteTold(now)
		s.roster.noteTold(m.Known, now)
		return
	}
	s.roster.noteVouched(m.Known, now)
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

// tick sends the messages that are due and returns the pause until the next look.
func (s *Sharer) tick(ctx context.Context, now time.Time) time.Duration {
	s.mu.Lock()
	s.cleanRoster(now)
	s.roster.largest = max(s.roster.largest, s.roster.countLive(now)+1)
	direct := s.roster.isDirect(now)
	s.mu.Unlock()
	if !direct {
		s.sendThroughHubs(ctx, s.knownNow(now), now)
		return max(hubInterval, s.hubPause)
	}
	s.setReading(false)
	changes := s.options.Load.Changes()
	if changes == s.sentChanges && now.Sub(s.sentAt) < idleInterval-sendInterval/2 {
		return sendInterval
	}
	s.sentChanges, s.sentAt = changes, now
	s.sendDirect(ctx, s.knownNow(now), now)
	return sendInterval
}

// knownNow returns the live instances if their list is due with the next message.
func (s *Sharer) knownNow(now time.Time) (known acquaintances) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.knownAt) >= knownInterval {
		s.knownAt = now
		known.met, known.vouched = s.roster.known(now)
	}
	return known
}

// cleanRoster must be called with the mutex held.
func (s *Sharer) cleanRoster(now time.Time) {
	for _, address := range s.roster.newlyLost(now) {
		s.options.Log.Warn().Str("dependency", "peer").Str("address", address).Msg("dependency_lost")
		s.node.Disconnect(address)
	}
	for _, address := range s.roster.forgetSilent(now) {
		s.node.Disconnect(address)
	}
	for _, members := range []map[string]*groupMember{s.group, s.otherHubs} {
		for address, m := range members {
			if now.Sub(m.received) > memberLifetime {
				delete(members, address)
			}
		}
	}
}

// sendDirect tells all instances.
func (s *Sharer) sendDirect(ctx context.Context, known acquaintances, now time.Time) {
	s.mu.Lock()
	live, retried := s.roster.reachable(now)
	s.mu.Unlock()
	message := s.message(peer.ScopeOwn, known.met, s.ownCounts(now))
	s.send(ctx, live, message, sendTimeout)
	s.reconnect(ctx, retried, message)
}

func (s *Sharer) message(scope peer.ShareScope, known []peer.Member, counts load.Counts) peer.LoadShare {
	s.mu.Lock()
	capacity, largest := s.roster.capacity, s.roster.largest
	s.mu.Unlock()
	m := peer.LoadShare{
		Capacity: capacity, LargestFleet: uint16(min(largest, math.MaxUint16)),
		Scope: scope, Address: s.options.Address, Known: known, Loads: loadsOf(counts.Entries), Demand: demandOf(counts.Demand),
		Stamp: int64(clock.Boot()), AgeMS: -1,
	}
	if s.options.Feed != nil {
		m.Position, _ = s.options.Feed.Position()
	}
	return m
}

// send sends a message to several instances and returns the number of bytes. One that cannot be reached gets the next
// one, and is reported when it has been silent for long.
func (s *Sharer) send(ctx context.Context, addresses []string, message peer.LoadShare, timeout time.Duration) int {
	frame, err := peer.EncodeFrame(peer.KindLoadShare, 0, false, message)
	if err != nil {
		s.options.Log.Error().Err(err).Msg("load_share_not_encoded")
		return 0
	}
	for _, address := range addresses {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		if err := s.node.SendFrame(callCtx, address, frame); err != nil {
			s.options.Log.Debug().Str("address", address).Err(err).Msg("load_share_not_sent")
		}
		cancel()
	}
	return len(frame) * len(addresses)
}

// reconnect sends a message to silent instances on new connections, without holding up the others.
func (s *Sharer) reconnect(ctx context.Context, addresses []string, message peer.LoadShare) {
	for _, address := range addresses {
		s.node.Disconnect(address)
		go s.send(ctx, []string{address}, message, reconnectTimeout)
	}
}

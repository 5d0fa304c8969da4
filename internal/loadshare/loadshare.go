// Package loadshare tells the entry instances what each of them has placed on endpoints. An instance that hears from no
// other one goes on with its own counts.
package loadshare

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/acacialift/acacialift/internal/health"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/peer"
)

const (
	// sendInterval is the pause between two messages while the own work changes, idleInterval while it does not.
	sendInterval = 60 * time.Millisecond
	idleInterval = 400 * time.Millisecond
	// sendTimeout bounds one message. A connection that is being opened is ready for the next one.
	sendTimeout = 2 * time.Millisecond
	// silentAfter is the time without a message after which an instance counts as lost, and reconnectEvery the pause
	// between the connections tried then.
	silentAfter    = 2 * time.Second
	reconnectEvery = time.Second
	// forgetAfter is the time without a message after which an instance is not called any more unless it is a seed.
	forgetAfter = 10 * time.Second
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
	Book     *load.Book
	Health   *health.Tracker
	Log      zerolog.Logger
}

// member is another instance.
type member struct {
	seed  bool
	heard time.Time
	tried time.Time
	lost  bool
}

// Sharer sends and receives the messages.
type Sharer struct {
	options Options
	node    *peer.Node

	mu      sync.Mutex
	members map[string]*member
}

// New starts listening on the peers' port.
func New(options Options) (*Sharer, error) {
	s := &Sharer{options: options, members: make(map[string]*member)}
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
		switch m := s.members[seed]; {
		case seed == s.options.Address:
		case m == nil:
			s.members[seed] = &member{seed: true}
		default:
			m.seed = true
		}
	}
}

// Refused implements peer.Events.
func (s *Sharer) Refused(remote, reason string) {
	s.options.Log.Warn().Str("remote", remote).Str("reason", reason).Msg("peer_refused")
}

// Handle implements peer.Handler.
func (s *Sharer) Handle(from peer.Hello, envelope *peer.Envelope) (peer.Kind, any) {
	if envelope.Kind != peer.KindLoadShare {
		return 0, nil
	}
	var message peer.LoadShare
	if err := envelope.Decode(&message); err != nil {
		s.options.Log.Warn().Str("peer", from.Name).Err(err).Msg("load_share_malformed")
		return 0, nil
	}
	now := time.Now()
	s.options.Book.Merge(from.Name, entriesOf(message.Loads), now)
	s.noteMessage(message, now)
	return 0, nil
}

func (s *Sharer) noteMessage(message peer.LoadShare, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, address := range message.Known {
		if address != s.options.Address && s.members[address] == nil {
			s.members[address] = &member{heard: now}
		}
	}
	m := s.members[message.Address]
	if m == nil {
		m = &member{}
		s.members[message.Address] = m
	}
	if m.lost || m.heard.IsZero() {
		s.options.Log.Info().Str("dependency", "peer").Str("address", message.Address).Msg("dependency_back")
	}
	m.heard, m.lost = now, false
}

// Serve sends messages until the context ends.
func (s *Sharer) Serve(ctx context.Context) error {
	defer s.node.Close()
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	var sentChanges uint64
	var sentAt time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			changes := s.options.Book.Changes()
			if changes == sentChanges && now.Sub(sentAt) < idleInterval {
				continue
			}
			sentChanges, sentAt = changes, now
			s.send(ctx, now)
		}
	}
}

func (s *Sharer) send(ctx context.Context, now time.Time) {
	targets, known := s.targets(now)
	message := peer.LoadShare{Address: s.options.Address, Known: known, Loads: s.loads(now)}
	frame, err := peer.EncodeFrame(peer.KindLoadShare, 0, false, message)
	if err != nil {
		s.options.Log.Error().Err(err).Msg("load_share_not_encoded")
		return
	}
	for _, address := range targets {
		callCtx, cancel := context.WithTimeout(ctx, sendTimeout)
		// A lost message is replaced by the next one, and a silent member is reported by targets.
		_ = s.node.SendFrame(callCtx, address, frame)
		cancel()
	}
}

// targets returns the addresses to send to and the live members.
func (s *Sharer) targets(now time.Time) (targets, known []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, m := range s.members {
		silent := now.Sub(m.heard)
		switch {
		case silent > forgetAfter && !m.seed && !m.heard.IsZero():
			delete(s.members, address)
			s.node.Disconnect(address)
			continue
		case silent > silentAfter:
			s.noteSilent(address, m)
			if now.Sub(m.tried) < reconnectEvery {
				continue
			}
			m.tried = now
			s.node.Disconnect(address)
		default:
			known = append(known, address)
		}
		targets = append(targets, address)
	}
	return targets, known
}

func (s *Sharer) noteSilent(address string, m *member) {
	if m.lost || m.heard.IsZero() {
		return
	}
	m.lost = true
	s.options.Log.Warn().Str("dependency", "peer").Str("address", address).Msg("dependency_lost")
}

// Live returns the number of other instances that were heard of lately.
func (s *Sharer) Live(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	live := 0
	for _, m := range s.members {
		if now.Sub(m.heard) <= silentAfter {
			live++
		}
	}
	return live
}

func (s *Sharer) loads(now time.Time) []peer.EndpointLoad {
	own := s.options.Book.Own(now)
	for _, endpoint := range s.options.Health.Suspected(now) {
		e := own[endpoint]
		e.Endpoint, e.Suspect = endpoint, true
		own[endpoint] = e
	}
	loads := make([]peer.EndpointLoad, 0, len(own))
	for _, e := range own {
		loads = append(loads, peer.EndpointLoad{
			Endpoint: e.Endpoint, Streams: e.Streams, Context: e.Context,
			UnreadMS: e.Unread.Milliseconds(), OwnUnreadMS: e.OwnUnread.Milliseconds(), PauseMS: e.Pause.Milliseconds(), Suspect: e.Suspect,
		})
	}
	return loads
}

func entriesOf(loads []peer.EndpointLoad) []load.Entry {
	entries := make([]load.Entry, 0, len(loads))
	for _, l := range loads {
		entries = append(entries, load.Entry{
			Endpoint: l.Endpoint, Streams: l.Streams, Context: l.Context,
			Unread:    time.Duration(l.UnreadMS) * time.Millisecond,
			OwnUnread: time.Duration(l.OwnUnreadMS) * time.Millisecond,
			Pause:     time.Duration(l.PauseMS) * time.Millisecond,
			Suspect:   l.Suspect,
		})
	}
	return entries
}

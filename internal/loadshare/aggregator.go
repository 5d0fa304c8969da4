package loadshare

import (
	"context"
	"slices"
	"time"

	"github.com/acacialift/acacialift/internal/clock"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/published"
)

// readers is the number of hubs that read the platform for the whole fleet.
const readers = 3

// groupMember is an instance that this one, a hub, tells of others.
type groupMember struct {
	// chose is true if the instance has chosen this one as its hub. Others have lost touch with the fleet and tell everyone
	// whom they remember; only hubs and seeds answer those, because otherwise a fleet that is short of processor time
	// would answer each of its messages many times over.
	chose    bool
	received time.Time
	stamp    int64
	position int64
}

// sendThroughHubs tells the own hub, and as a hub the members and the other hubs.
func (s *Sharer) sendThroughHubs(ctx context.Context, known acquaintances, now time.Time) {
	s.mu.Lock()
	hubs := s.roster.hubs(now)
	isHub := slices.Contains(hubs, s.options.Address)
	isReader := slices.Contains(hubs[:min(readers, len(hubs))], s.options.Address)
	ownHub := ""
	if !isHub {
		ownHub = s.roster.hubOf(hubs)
	}
	if ownHub != "" {
		s.roster.noteAsked(ownHub, now)
	}
	seeds := s.roster.silentSeeds(now)
	answersAll := isHub || s.roster.selfSeed
	group := copyMembers(s.group, func(m *groupMember) bool { return m.chose || answersAll })
	otherHubs := copyMembers(s.otherHubs, func(*groupMember) bool { return true })
	s.mu.Unlock()
	s.setReading(isReader)
	message := s.message(peer.ScopeMember, known.met, s.ownCounts(now))
	s.reconnect(ctx, seeds, message)
	if ownHub != "" {
		s.send(ctx, []string{ownHub}, message, sendTimeout)
	}
	if !isHub && len(group) == 0 {
		s.setHubPause(0)
		return
	}
	others := slices.DeleteFunc(hubs, func(address string) bool { return address == s.options.Address })
	bytes := s.sendTotals(ctx, group, known, now)
	sum := s.message(peer.ScopeGroup, known.met, s.groupCounts(group, now))
	for _, address := range others {
		message := sum
		if isReader {
			s.addPublished(&message, otherHubs[address])
		}
		bytes += s.send(ctx, []string{address}, message, sendTimeout)
	}
	s.setHubPause(bytes)
}

func copyMembers(members map[string]*groupMember, includes func(*groupMember) bool) map[string]groupMember {
	copied := make(map[string]groupMember, len(members))
	for address, m := range members {
		if includes(m) {
			copied[address] = *m
		}
	}
	return copied
}

func (s *Sharer) setReading(reading bool) {
	if s.options.Feed != nil {
		s.options.Feed.SetWatching(reading)
	}
}

// setHubPause sets the pause after a round in which the given number of bytes was sent.
func (s *Sharer) setHubPause(bytes int) {
	pause := time.Duration(float64(bytes) / hubByteRate * float64(time.Second))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hubPause = min(pause, maxHubPause)
}

// groupCounts returns the sum of this hub and its members.
func (s *Sharer) groupCounts(group map[string]groupMember, now time.Time) load.Counts {
	sum, _ := s.options.Load.Sum(now, func(name string) bool {
		_, isMember := group[name]
		return isMember
	})
	s.addSuspects(sum.Entries, now)
	return sum
}

// sendTotals tells each member the work of all others, and what it lacks of the platform's publications.
func (s *Sharer) sendTotals(ctx context.Context, group map[string]groupMember, known acquaintances, now time.Time) (bytes int) {
	totals, _ := s.options.Load.Sum(now, func(name string) bool { return name != hubShare })
	s.addSuspects(totals.Entries, now)
	for address, m := range group {
		rest := totals.Minus(s.options.Load.PeerCounts(address))
		message := s.message(peer.ScopeTotals, known.all(), rest)
		s.addPublished(&message, m)
		bytes += s.send(ctx, []string{address}, message, sendTimeout)
	}
	return bytes
}

// addPublished adds the changes after a receiver's position. Nothing is added for one that was not heard yet.
func (s *Sharer) addPublished(message *peer.LoadShare, to groupMember) {
	message.AgeMS = -1
	if s.options.Feed == nil || to.stamp == 0 {
		return
	}
	message.Echo = to.stamp
	asOf, confirmed := s.options.Feed.Position()
	items, whole := s.options.Feed.Since(to.position)
	if !whole || confirmed == 0 {
		return
	}
	message.Position = asOf
	// The state may be confirmed until the end of the current millisecond.
	message.AgeMS = (clock.Boot() - confirmed).Milliseconds() + 1
	for _, it := range items {
		message.Published = append(message.Published, peer.PublishedItem(it))
	}
}

// acceptPublished takes over the changes in a hub's message. The hub sent it after it had received the echoed stamp, so
// that its state is not older than that moment less the age that it states.
func (s *Sharer) acceptPublished(m *peer.LoadShare) {
	if s.options.Feed == nil || m.Echo == 0 || m.AgeMS < 0 {
		return
	}
	items := make([]published.Item, 0, len(m.Published))
	for _, p := range m.Published {
		items = append(items, published.Item(p))
	}
	confirmed := time.Duration(m.Echo) - time.Duration(m.AgeMS)*time.Millisecond
	s.options.Feed.Accept(items, m.Position, confirmed)
}

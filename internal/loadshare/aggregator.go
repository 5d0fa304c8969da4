package loadshare

import (
	"context"
	"slices"
	"time"

	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/published"
)

// maxWatchers is the number of aggregators that watch the platform for the complete fleet.
const maxWatchers = 3

// recipient is an instance to which this one, an aggregator, sends its sums.
type recipient struct {
	// subscribed is true if the instance has chosen this one as its aggregator. An instance that has not subscribed
	// has no contact with the fleet, and sends to all addresses that it knows. Only aggregators and seeds reply to
	// such instances, because otherwise a fleet without spare processor time would send many replies to each of
	// these messages.
	subscribed bool
	// listed is true once this instance has sent the recipient a list of the live instances. The first message contains one,
	// because this instance may be the only one that the recipient knows, and may fail before the next list is due.
	listed bool
	// received is the time of the instance's last message. The other fields are what the message states.
	received time.Time
	stamp    int64
	position published.Position
	retained uint64
	// wantsConfirmation is true if the instance asks for a confirmation of its catalog.
	wantsConfirmation bool
}

// sendViaAggregators sends to this instance's aggregator or, if it is an aggregator itself, to its members and the
// other aggregators.
func (s *Sharer) sendViaAggregators(ctx context.Context, lists periodicLists, now time.Time) {
	s.mu.Lock()
	aggregators := s.roster.aggregators(now)
	isAggregator := slices.Contains(aggregators, s.options.Address)
	isWatcher := slices.Contains(aggregators[:min(maxWatchers, len(aggregators))], s.options.Address)
	aggregator := ""
	if !isAggregator {
		aggregator = s.roster.aggregatorFrom(aggregators)
	}
	if aggregator != "" {
		s.roster.awaitAggregator(aggregator, now)
	}
	seeds := s.roster.seedsToRetry(now)
	repliesToAll := isAggregator || s.roster.selfIsSeed
	group := copyMembers(s.group, func(m *recipient) bool { return m.subscribed || repliesToAll })
	otherAggregators := copyMembers(s.otherAggregators, func(*recipient) bool { return true })
	fromAggregator := recipient{}
	if s.aggregator != nil {
		fromAggregator = *s.aggregator
	}
	s.mu.Unlock()
	s.setWatching(isWatcher)
	message := s.newMessage(peer.ScopeMember, lists.direct, s.localCounts(now))
	s.addPeriodic(&message, lists, now)
	s.reconnect(ctx, seeds, message)
	if aggregator != "" {
		s.addRetained(&message, lists, fromAggregator)
		s.send(ctx, []string{aggregator}, message, sendTimeout)
	}
	if !isAggregator && len(group) == 0 {
		s.setRoundInterval(0)
		return
	}
	others := slices.DeleteFunc(aggregators, func(address string) bool { return address == s.options.Address })
	bytes := s.sendTotals(ctx, group, lists, now)
	sum := s.newMessage(peer.ScopeGroup, lists.direct, s.groupCounts(group, now))
	s.addPeriodic(&sum, lists, now)
	for _, address := range others {
		message := sum
		s.addRetained(&message, lists, otherAggregators[address])
		if isWatcher {
			s.addPublished(&message, otherAggregators[address])
		}
		s.addConfirmation(&message, otherAggregators[address])
		size, _ := s.send(ctx, []string{address}, message, sendTimeout)
		bytes += size
	}
	s.setRoundInterval(bytes)
}

func copyMembers(members map[string]*recipient, includes func(*recipient) bool) map[string]recipient {
	copied := make(map[string]recipient, len(members))
	for address, m := range members {
		if includes(m) {
			copied[address] = *m
		}
	}
	return copied
}

func (s *Sharer) setWatching(watching bool) {
	if s.options.Feed != nil {
		s.options.Feed.SetWatching(watching)
	}
}

// setRoundInterval sets the time until the next round, after a round in which the given number of bytes was sent.
func (s *Sharer) setRoundInterval(bytes int) {
	interval := time.Duration(float64(bytes) / aggregatorByteRate * float64(time.Second))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roundInterval = min(interval, maxAggregatorInterval)
}

// groupCounts returns the sum of the counts of this aggregator and its members.
func (s *Sharer) groupCounts(group map[string]recipient, now time.Time) load.Counts {
	sum, _ := s.options.Load.Sum(now, func(name string) bool {
		_, isMember := group[name]
		return isMember
	})
	s.addSuspects(sum.Entries, now)
	return sum
}

// sendTotals sends each member the sum of the counts of all other instances, and the published changes that it does
// not have.
func (s *Sharer) sendTotals(ctx context.Context, group map[string]recipient, lists periodicLists, now time.Time) (bytes int) {
	totals, _ := s.options.Load.Sum(now, func(name string) bool { return name != totalsName })
	s.addSuspects(totals.Entries, now)
	for address, m := range group {
		sentLists := lists
		if !m.listed {
			sentLists = s.currentLists(now)
		}
		otherCounts := totals.Minus(s.options.Load.PeerCounts(address))
		message := s.newMessage(peer.ScopeTotals, sentLists.all(), otherCounts)
		s.addPeriodic(&message, sentLists, now)
		s.addRetained(&message, sentLists, m)
		s.addPublished(&message, m)
		s.addConfirmation(&message, m)
		size, sent := s.send(ctx, []string{address}, message, sendTimeout)
		bytes += size
		if sentLists.due && sent > 0 {
			s.setListed(address)
		}
	}
	return bytes
}

// currentLists returns the lists as if they were due.
func (s *Sharer) currentLists(now time.Time) periodicLists {
	s.mu.Lock()
	defer s.mu.Unlock()
	direct, indirect := s.roster.liveMembers(now)
	return periodicLists{due: true, direct: direct, indirect: indirect, parts: s.partsSince(0, now)}
}

// setListed records that a recipient is sent a list of the live instances.
func (s *Sharer) setListed(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.group[address]; m != nil {
		m.listed = true
	}
}

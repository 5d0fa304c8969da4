package loadshare

import (
	"time"

	"github.com/acacialift/acacialift/internal/peer"
)

// Handle implements peer.Handler.
func (s *Sharer) Handle(from peer.Hello, envelope *peer.Envelope) (kind peer.Kind, body any) {
	// The messages of all connections are handled on one goroutine, where a panic would end the process.
	s.options.Panics.Recover("message of a peer", func() { kind, body = s.handle(from, envelope) })
	return kind, body
}

func (s *Sharer) handle(from peer.Hello, envelope *peer.Envelope) (peer.Kind, any) {
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
	s.logInvalid(message.Address, message.RemoveInvalid())
	s.receive(&message, time.Now())
	return 0, nil
}

// maxLoggedAddress bounds what is logged of the address in a message.
const maxLoggedAddress = 64

// logInvalid logs a value of a message that is ignored.
func (s *Sharer) logInvalid(sender string, invalid peer.Invalid) {
	sender = sender[:min(len(sender), maxLoggedAddress)]
	if invalid.Count > 0 && s.rejections.IsFirst(sender, invalid.First, time.Now()) {
		s.options.Log.Warn().Str("peer", sender).Str("field", invalid.First).Str("value", invalid.Value).
			Int("count", invalid.Count).Msg("peer_value_ignored")
	}
}

// receive applies a message of another instance.
func (s *Sharer) receive(m *peer.LoadShare, now time.Time) {
	s.applyRetained(m)
	if m.Scope == peer.ScopeTotals || m.Scope == peer.ScopeGroup {
		s.applyPublished(m)
	}
	s.applyConfirmation(m)
	s.options.Load.SetPeerCounts(countsName(m), countsOf(m), now)
	s.mergeLimits(m, now)
	s.mergeParts(m, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.largestFleet = max(s.roster.largestFleet, int(m.LargestFleet))
	s.recordSender(m, now)
	if m.Position == 0 && s.retainsItems() {
		// The sender has just started. It must learn what this instance retains before it uses an outdated copy.
		s.listsSentAt = time.Time{}
	}
	if s.roster.recordDirect(peer.Member{Address: m.Address, Capacity: m.Capacity}, now) {
		s.contactBegins(m.Address, now)
	}
	if m.Scope == peer.ScopeTotals {
		s.updateTotalsInterval(now)
		s.roster.recordAggregated(m.LiveMembers, now)
		return
	}
	s.roster.recordIndirect(m.LiveMembers, now)
}

// countsName returns the name under which the counts of a message are stored.
func countsName(m *peer.LoadShare) string {
	switch m.Scope {
	case peer.ScopeTotals:
		return totalsName
	case peer.ScopeGroup:
		return groupPrefix + m.Address
	}
	return m.Address
}

// recordSender records what the sender of a message knows, by its role towards this instance. It must be called with the
// mutex held.
func (s *Sharer) recordSender(m *peer.LoadShare, now time.Time) {
	sender := &recipient{received: now, position: positionOf(m), retained: m.Extension.RetainedDigest, wantsConfirmation: m.Extension.WantsConfirmation}
	switch m.Scope {
	case peer.ScopeMember, peer.ScopeLocal:
		// An instance without contact to the fleet sends ScopeLocal to its seeds. The reply contains the member list.
		previous := s.group[m.Address]
		sender.stamp, sender.subscribed = m.Stamp, m.Scope == peer.ScopeMember
		sender.listed = sender.subscribed && previous != nil && previous.listed
		s.group[m.Address] = sender
	case peer.ScopeGroup:
		sender.stamp = m.Stamp
		s.otherAggregators[m.Address] = sender
	case peer.ScopeTotals:
		s.aggregator = sender
	}
}

// contactBegins makes the next messages repeat what another instance may not know, because it has started or was cut off.
// It must be called with the mutex held.
func (s *Sharer) contactBegins(address string, now time.Time) {
	s.allPartsSentAt = time.Time{}
	if s.roster.isFullMesh(now) {
		// The sender may know no other instance than this one, which may fail before the next list is due.
		s.listsSentAt = time.Time{}
	}
	s.options.Log.Info().Str("dependency", "peer").Str("address", address).Msg("dependency_back")
}

package loadshare

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/acacialift/acacialift/internal/clock"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/peer"
)

// sendDirect sends the local counts to all instances.
func (s *Sharer) sendDirect(ctx context.Context, lists periodicLists, now time.Time) {
	s.mu.Lock()
	live, retry := s.roster.sendTargets(now)
	group := copyMembers(s.group, func(*recipient) bool { return true })
	s.mu.Unlock()
	recipients := slices.Collect(maps.Values(group))
	message := s.newMessage(peer.ScopeLocal, lists.direct, s.localCounts(now))
	s.addPeriodic(&message, lists, now)
	s.addRetained(&message, lists, recipients...)
	message.Extension.Echoes = echoesOf(group)
	s.addConfirmation(&message, recipients...)
	s.send(ctx, live, message, sendTimeout)
	s.reconnect(ctx, retry, message)
}

func (s *Sharer) newMessage(scope peer.ShareScope, members []peer.Member, counts load.Counts) peer.LoadShare {
	s.mu.Lock()
	capacity, largest := s.roster.capacity, s.roster.largestFleet
	s.mu.Unlock()
	m := peer.LoadShare{
		Capacity: capacity, LargestFleet: uint16(min(largest, math.MaxUint16)),
		Scope: scope, Address: s.options.Address, LiveMembers: members, Loads: loadsOf(counts.Entries),
		Demand: demandOf(counts.Demand),
		Stamp:  int64(clock.Boot()), AgeMS: -1,
	}
	if s.options.Feed != nil {
		position, _ := s.options.Feed.Position()
		m.Extension.Era, m.Position = position.Era, position.Revision
		_, m.Extension.RetainedDigest = s.options.Feed.Retained()
	}
	m.Extension.WantsConfirmation = s.wantsConfirmation()
	return m
}

// addPeriodic adds what is due besides the counts and the live instances.
func (s *Sharer) addPeriodic(message *peer.LoadShare, lists periodicLists, now time.Time) {
	s.addLimits(message, lists, now)
	addParts(message, lists.parts)
}

// send sends a message to several instances. It returns the number of bytes and the number of instances to which it was sent. It
// does not retry: an unreachable instance receives the next message, and newlyUnresponsive reports it after contactTimeout.
func (s *Sharer) send(
	ctx context.Context, addresses []string, message peer.LoadShare, timeout time.Duration,
) (bytes, sent int) {
	frame, err := peer.EncodeFrame(peer.KindLoadShare, 0, false, &message)
	if err != nil {
		s.options.Log.Error().Err(err).Msg("load_share_not_encoded")
		return 0, 0
	}
	for _, address := range addresses {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		if err := s.node.SendFrame(callCtx, address, frame); err != nil {
			s.options.Log.Debug().Str("address", address).Err(err).Msg("load_share_not_sent")
		} else {
			sent++
		}
		cancel()
	}
	return len(frame) * len(addresses), sent
}

// reconnect sends a message to unresponsive instances on new connections, without delaying messages to other
// instances.
func (s *Sharer) reconnect(ctx context.Context, addresses []string, message peer.LoadShare) {
	for _, address := range addresses {
		s.node.Disconnect(address)
		go s.send(ctx, []string{address}, message, reconnectTimeout)
	}
}

package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/acacialift/acacialift/internal/peer"
)

// leaseState is the holder's state for one resource that it wants.
type leaseState struct {
	resource     string
	info         Info
	voters       []string
	voterSetHash uint64
	nextClaimAt  time.Time
	// attempt increases whenever the lease or an attempt to acquire it ends. Promises of earlier attempts do not count.
	attempt uint64
	votes   map[string]vote
	// refusedAsHeld is the set of voters that refused the latest claim because another holder has their promise.
	refusedAsHeld map[string]bool
	leased        bool
	lease         Lease
}

// vote combines the promises of one voter in one attempt and voter set.
type vote struct {
	sentAt time.Time
	// labelEnd is the highest label end promised to this holder.
	labelEnd int64
	// otherLabelEnd is the highest label end that the voter reported for other holders.
	otherLabelEnd int64
}

// claimItem returns the item to send in a claim. For a key slot it claims labels up to LabelLength ahead, and never a lower
// end than that of the current lease.
func (s *leaseState) claimItem(wallMS int64) peer.ClaimItem {
	item := peer.ClaimItem{Resource: s.resource, VoterSet: s.voterSetHash}
	if IsKeySlot(s.resource) {
		item.LabelStart = s.lease.LabelStart
		item.LabelEnd = max(wallMS+LabelLength.Milliseconds(), s.lease.LabelEnd)
	}
	return item
}

// expire ends the attempt if the lease has expired.
func (s *leaseState) expire(now time.Time) {
	if s.leased && !now.Before(s.lease.ValidUntil) {
		s.endAttempt()
	}
}

// endAttempt ends the attempt and the lease. Promises of this attempt must not count in the next one. Another holder may
// have the lease in between, and the voters' earlier replies do not contain its label end.
func (s *leaseState) endAttempt() {
	s.attempt++
	s.leased = false
	s.lease = Lease{}
	clear(s.votes)
	clear(s.refusedAsHeld)
}

// addPromise adds a promise to the voter's vote. Promises may arrive out of order, so each field keeps its highest value.
func (s *leaseState) addPromise(voter string, sentAt time.Time, labelEnd, otherLabelEnd int64) {
	v := s.votes[voter]
	if v.sentAt.Before(sentAt) {
		v.sentAt = sentAt
	}
	v.labelEnd = max(v.labelEnd, labelEnd)
	v.otherLabelEnd = max(v.otherLabelEnd, otherLabelEnd)
	s.votes[voter] = v
}

// updateLease acquires or extends the lease if the valid votes form a quorum.
func (s *leaseState) updateLease(now time.Time, wallMS int64) {
	var sent []time.Time
	var reported, promised []int64
	for _, v := range s.votes {
		promised = append(promised, v.labelEnd)
		if now.Before(v.sentAt.Add(LeaseLength)) {
			sent = append(sent, v.sentAt)
			reported = append(reported, v.otherLabelEnd)
		}
	}
	quorum := Quorum(len(s.voters))
	if len(sent) < quorum {
		return
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	slices.Sort(reported)
	slices.SortFunc(promised, func(a, b int64) int { return cmp.Compare(b, a) })
	start := reported[quorum-1]
	if !s.leased {
		s.leased = true
		s.lease = Lease{
			Resource:       s.resource,
			AcquiredAt:     now,
			GrantFrom:      now.Add(WaitBeforeGrant),
			AcquiredWallMS: wallMS,
			LabelStart:     start,
		}
	}
	// Later promises may form another quorum, whose highest reported label end is lower.
	s.lease.LabelStart = min(s.lease.LabelStart, start)
	s.lease.LabelEnd = max(s.lease.LabelEnd, promised[quorum-1])
	if until := sent[quorum-1].Add(LeaseLength); until.After(s.lease.ValidUntil) {
		s.lease.ValidUntil = until
	}
}

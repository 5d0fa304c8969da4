package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/acacialift/acacialift/internal/peer"
)

// tenure is the state of one wanted resource.
type tenure struct {
	resource string
	info     Info
	set      []string
	hash     uint64
	nextAt   time.Time
	// attempt changes whenever the lease ends or an attempt is given up; promises of earlier attempts do not count.
	attempt uint64
	votes   map[string]vote
	// held is the set of voters that refused the latest round because of another holder.
	held   map[string]bool
	leased bool
	lease  Lease
}

// vote summarizes the promises of one voter in one attempt and voter set.
type vote struct {
	sentAt time.Time
	// labelEnd is the highest label end promised to this holder.
	labelEnd int64
	// othersEnd is the highest label end reported for other holders.
	othersEnd int64
}

// claimItem asks for labels up to LabelLength ahead, and never for a lower end than the one in use.
func (t *tenure) claimItem(wallMS int64) peer.ClaimItem {
	item := peer.ClaimItem{Resource: t.resource, VoterSet: t.hash}
	if IsKeySlot(t.resource) {
		item.LabelStart = t.lease.LabelStart
		item.LabelEnd = max(wallMS+LabelLength.Milliseconds(), t.lease.LabelEnd)
	}
	return item
}

// lapse ends the attempt if the lease has run out.
func (t *tenure) lapse(now time.Time) {
	if t.leased && !now.Before(t.lease.ValidUntil) {
		t.reset()
	}
}

// reset ends the attempt. A claim sent before a gap must not count after it, because another holder may have come
// between, whose label ends the voters had not yet reported.
func (t *tenure) reset() {
	t.attempt++
	t.leased = false
	t.lease = Lease{}
	clear(t.votes)
	clear(t.held)
}

// count adds a promise to the voter's vote. Promises may arrive in any order, so each field keeps its highest value.
func (t *tenure) count(voter string, sentAt time.Time, labelEnd, othersEnd int64) {
	v := t.votes[voter]
	if v.sentAt.Before(sentAt) {
		v.sentAt = sentAt
	}
	v.labelEnd = max(v.labelEnd, labelEnd)
	v.othersEnd = max(v.othersEnd, othersEnd)
	t.votes[voter] = v
}

// evaluate acquires or extends the lease if a quorum of votes is valid.
func (t *tenure) evaluate(now time.Time, wallMS int64) {
	var sent []time.Time
	var reported, promised []int64
	for _, v := range t.votes {
		promised = append(promised, v.labelEnd)
		if now.Before(v.sentAt.Add(LeaseLength)) {
			sent = append(sent, v.sentAt)
			reported = append(reported, v.othersEnd)
		}
	}
	quorum := Quorum(len(t.set))
	if len(sent) < quorum {
		return
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	slices.Sort(reported)
	slices.SortFunc(promised, func(a, b int64) int { return cmp.Compare(b, a) })
	start := reported[quorum-1]
	if !t.leased {
		t.leased = true
		t.lease = Lease{
			Resource:       t.resource,
			AcquiredAt:     now,
			GrantFrom:      now.Add(WaitBeforeGrant),
			AcquiredWallMS: wallMS,
			LabelStart:     start,
		}
	}
	// Later answers may complete a quorum that reported less than the first one.
	t.lease.LabelStart = min(t.lease.LabelStart, start)
	t.lease.LabelEnd = max(t.lease.LabelEnd, promised[quorum-1])
	if until := sent[quorum-1].Add(LeaseLength); until.After(t.lease.ValidUntil) {
		t.lease.ValidUntil = until
	}
}

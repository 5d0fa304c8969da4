package lease

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/peer"
)

// Lease is the right of one incarnation to act on a resource.
type Lease struct {
	Resource string
	// ValidUntil is the end of the lease on the holder's monotonic clock.
	ValidUntil time.Time
	// AcquiredAt is the start of the uninterrupted lease.
	AcquiredAt time.Time
	// GrantFrom is the time from which an endpoint's owner may grant credits.
	GrantFrom time.Time
	// AcquiredWallMS is the wall clock at AcquiredAt, from which fencing numbers are derived.
	AcquiredWallMS int64
	// LabelStart and LabelEnd bound the labels of the keys that the holder may accept, [start, end) in wall-clock
	// milliseconds. The interval is empty if LabelEnd is not above LabelStart.
	LabelStart int64
	LabelEnd   int64
}

// MayGrant tells whether an endpoint's owner may grant credits at the given time.
func (l *Lease) MayGrant(now time.Time) bool {
	return !now.Before(l.GrantFrom) && now.Before(l.ValidUntil)
}

// Outgoing is a claim to send to a voter.
type Outgoing struct {
	Voter string
	Claim *peer.Claim
}

// Holder decides which claims one incarnation of an instance sends, and knows its leases.
type Holder struct {
	name        string
	incarnation int64
	revision    uint64
	index       *config.Index
	list        *config.InstanceList
	electorates *electorates
	resources   map[string]Info
	tenures     map[string]*tenure
	sequence    uint64
	pending     map[uint64]*pendingClaim
	// releases holds the resources to release, by voter.
	releases map[string][]string
}

// pendingClaim is a sent claim without an answer.
type pendingClaim struct {
	voter  string
	sentAt time.Time
	items  map[string]pendingItem
}

type pendingItem struct {
	attempt  uint64
	hash     uint64
	labelEnd int64
}

// NewHolder returns a holder that wants nothing. The pair of instance name and incarnation must never be used twice.
func NewHolder(name string, incarnation int64) *Holder {
	return &Holder{
		name:        name,
		incarnation: incarnation,
		electorates: newElectorates(nil),
		sequence:    uint64(incarnation) << sequenceBits,
		tenures:     make(map[string]*tenure),
		pending:     make(map[uint64]*pendingClaim),
		releases:    make(map[string][]string),
	}
}

// SetView adopts a configuration and an instance list. A lower revision than the one in force is ignored. Leases on
// resources that nobody may hold under the new configuration end at once.
func (h *Holder) SetView(now time.Time, index *config.Index, list *config.InstanceList) {
	changed := false
	if h.index == nil || index.Revision() > h.index.Revision() {
		h.index, changed = index, true
		h.resources = Describe(index)
	}
	if h.list == nil || list.Revision > h.list.Revision {
		h.list, changed = list, true
		h.electorates = newElectorates(list.Instances)
	}
	if !changed {
		return
	}
	h.revision = h.index.Revision()
	for _, resource := range h.Wanted() {
		h.place(now, h.tenures[resource])
	}
}

// place applies the view to a tenure. A lease that a quorum of the earlier voter set promised stays valid until its
// end; its renewal needs a quorum of the new set.
func (h *Holder) place(now time.Time, t *tenure) {
	info, known := h.resources[t.resource]
	if !known {
		info = Info{Refusal: ReasonUnknownResource}
	}
	if info.Refusal != "" {
		h.giveUp(t)
	}
	t.info = info
	set := h.electorates.voterSet(t.resource, info.Region)
	hash := HashVoterSet(set)
	if hash == t.hash && t.set != nil {
		return
	}
	t.set, t.hash = set, hash
	t.votes = make(map[string]vote)
	t.held = make(map[string]bool)
	t.nextAt = now
}

// Want makes the holder claim a resource until Drop.
func (h *Holder) Want(now time.Time, resource string) {
	if h.tenures[resource] != nil {
		return
	}
	t := &tenure{resource: resource, votes: make(map[string]vote), held: make(map[string]bool)}
	h.tenures[resource] = t
	h.place(now, t)
}

// Drop ends the lease at once and releases the promises with the next Claims.
func (h *Holder) Drop(resource string) {
	t := h.tenures[resource]
	if t == nil {
		return
	}
	h.giveUp(t)
	delete(h.tenures, resource)
	// Answers to these claims must not count for a later tenure.
	for _, p := range h.pending {
		delete(p.items, resource)
	}
}

// Wanted returns the wanted resources in name order.
func (h *Holder) Wanted() []string {
	return slices.Sorted(maps.Keys(h.tenures))
}

// Claims returns the claims and releases to send now, one message per voter in name order. The leases that they renew
// are counted from now, so the caller sends them without waiting for anything.
func (h *Holder) Claims(now time.Time, wallMS int64) []Outgoing {
	h.expirePending(now)
	claims := make(map[string]*peer.Claim)
	for _, voter := range slices.Sorted(maps.Keys(h.releases)) {
		claim := h.claimTo(claims, now, voter)
		for _, resource := range h.releases[voter] {
			claim.Items = append(claim.Items, peer.ClaimItem{Resource: resource, Release: true})
		}
	}
	clear(h.releases)
	for _, t := range h.due(now) {
		h.claimTenure(claims, now, wallMS, t)
	}
	result := make([]Outgoing, 0, len(claims))
	for _, voter := range slices.Sorted(maps.Keys(claims)) {
		result = append(result, Outgoing{Voter: voter, Claim: claims[voter]})
	}
	return result
}

// claimTo returns the claim to a voter, which it adds to claims and to the pending ones if there is none yet.
func (h *Holder) claimTo(claims map[string]*peer.Claim, now time.Time, voter string) *peer.Claim {
	if claim := claims[voter]; claim != nil {
		return claim
	}
	h.sequence++
	claim := &peer.Claim{Holder: h.name, Incarnation: h.incarnation, Sequence: h.sequence, Revision: h.revision}
	claims[voter] = claim
	h.pending[h.sequence] = &pendingClaim{voter: voter, sentAt: now, items: make(map[string]pendingItem)}
	return claim
}

// claimTenure adds a resource to the claims to its voters.
func (h *Holder) claimTenure(claims map[string]*peer.Claim, now time.Time, wallMS int64, t *tenure) {
	item := t.claimItem(wallMS)
	for _, voter := range t.set {
		claim := h.claimTo(claims, now, voter)
		claim.Items = append(claim.Items, item)
		sent := pendingItem{attempt: t.attempt, hash: t.hash, labelEnd: item.LabelEnd}
		h.pending[claim.Sequence].items[t.resource] = sent
	}
	clear(t.held)
	t.nextAt = now.Add(RenewEvery)
}

// NextClaim returns the time at which Claims has something to send, or false if nothing is wanted.
func (h *Holder) NextClaim(now time.Time) (time.Time, bool) {
	if len(h.releases) > 0 {
		return now, true
	}
	next, found := time.Time{}, false
	for _, t := range h.tenures {
		if t.claimable() && (!found || t.nextAt.Before(next)) {
			next, found = t.nextAt, true
		}
	}
	return next, found
}

// due returns the tenures to claim, in name order; if any is due, those due within batchWindow go along.
func (h *Holder) due(now time.Time) []*tenure {
	var soon []*tenure
	any := false
	for _, name := range h.Wanted() {
		t := h.tenures[name]
		t.lapse(now)
		if !t.claimable() || t.nextAt.After(now.Add(batchWindow)) {
			continue
		}
		soon = append(soon, t)
		any = any || !t.nextAt.After(now)
	}
	if !any {
		return nil
	}
	return soon
}

// expirePending forgets claims whose promises can no longer extend a lease.
func (h *Holder) expirePending(now time.Time) {
	for sequence, p := range h.pending {
		if !now.Before(p.sentAt.Add(LeaseLength)) {
			delete(h.pending, sequence)
		}
	}
}

// HandlePromise takes a voter's answer. Answers that are late, duplicated or belong to an attempt that has ended are
// ignored.
func (h *Holder) HandlePromise(now time.Time, wallMS int64, voter string, promise *peer.Promise) {
	p := h.pending[promise.Sequence]
	if p == nil || p.voter != voter {
		return
	}
	delete(h.pending, promise.Sequence)
	for i := range promise.Items {
		answer := &promise.Items[i]
		t := h.tenures[answer.Resource]
		sent, claimed := p.items[answer.Resource]
		if t == nil || !claimed {
			continue
		}
		t.lapse(now)
		if sent.attempt != t.attempt || sent.hash != t.hash {
			continue
		}
		if answer.Granted {
			t.count(voter, p.sentAt, sent.labelEnd, answer.LabelEnd)
			t.evaluate(now, wallMS)
			continue
		}
		if answer.Reason == ReasonHeld {
			t.held[voter] = true
			h.backOff(now, t)
		}
	}
}

// backOff gives an attempt up if other holders have so many voters that no quorum is left, so that two claimants that
// split the voters do not block each other for ever.
func (h *Holder) backOff(now time.Time, t *tenure) {
	if t.leased || len(t.set)-len(t.held) >= Quorum(len(t.set)) {
		return
	}
	h.giveUp(t)
	seed := h.name + "\x00" + t.resource + "\x00" + strconv.FormatUint(t.attempt, 10) + "\x00" + strconv.FormatInt(h.incarnation, 10)
	steps := 1 + xxhash.Sum64String(seed)%backoffSteps
	t.nextAt = now.Add(time.Duration(steps) * backoffUnit)
}

// giveUp ends the attempt and the lease and queues releases to the voters that may have promised.
func (h *Holder) giveUp(t *tenure) {
	if t.info.Refusal == "" {
		for _, voter := range t.set {
			if !slices.Contains(h.releases[voter], t.resource) {
				h.releases[voter] = append(h.releases[voter], t.resource)
			}
		}
	}
	t.reset()
}

// Holds returns the lease on a resource if the holder may act on it now.
func (h *Holder) Holds(now time.Time, resource string) (Lease, bool) {
	t := h.tenures[resource]
	if t == nil {
		return Lease{}, false
	}
	t.lapse(now)
	if !t.leased {
		return Lease{}, false
	}
	return t.lease, true
}

func (t *tenure) claimable() bool { return t.info.Refusal == "" && len(t.set) > 0 }

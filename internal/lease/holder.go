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

// Lease is the right of one incarnation of an instance to act on a resource.
type Lease struct {
	Resource string
	// ValidUntil is the end of the lease on the holder's monotonic clock.
	ValidUntil time.Time
	// AcquiredAt is the time at which the lease was acquired; renewals do not change it.
	AcquiredAt time.Time
	// GrantFrom is the time from which an endpoint's owner may grant credits.
	GrantFrom time.Time
	// AcquiredWallMS is the wall clock at AcquiredAt in milliseconds, from which fencing numbers are derived.
	AcquiredWallMS int64
	// LabelStart and LabelEnd bound the labels of the keys that the holder may accept: the interval [start, end) in
	// wall-clock milliseconds. The interval is empty if LabelEnd is not greater than LabelStart.
	LabelStart int64
	LabelEnd   int64
}

// MayGrant reports whether an endpoint's owner may grant credits at the given time.
func (l *Lease) MayGrant(now time.Time) bool {
	return !now.Before(l.GrantFrom) && now.Before(l.ValidUntil)
}

// Outgoing is a claim to send to a voter.
type Outgoing struct {
	Voter string
	Claim *peer.Claim
}

// Holder decides which claims one incarnation of an instance sends, and keeps its leases.
type Holder struct {
	name        string
	incarnation int64
	revision    uint64
	index       *config.Index
	list        *config.InstanceList
	byRegion    *instancesByRegion
	resources   map[string]Info
	leases      map[string]*leaseState
	sequence    uint64
	pending     map[uint64]*pendingClaim
	// releases holds the resources to release, by voter.
	releases map[string][]string
}

// pendingClaim is a claim that was sent and has no promise yet.
type pendingClaim struct {
	voter  string
	sentAt time.Time
	items  map[string]pendingItem
}

// pendingItem is the state of a resource when it was claimed. A promise counts only if the attempt and the voter set are
// still the same.
type pendingItem struct {
	attempt      uint64
	voterSetHash uint64
	labelEnd     int64
}

// NewHolder returns a holder that claims no resources yet. No two processes may use the same instance name and incarnation.
func NewHolder(name string, incarnation int64) *Holder {
	return &Holder{
		name:        name,
		incarnation: incarnation,
		byRegion:    newInstancesByRegion(nil),
		sequence:    uint64(incarnation) << sequenceBits,
		leases:      make(map[string]*leaseState),
		pending:     make(map[uint64]*pendingClaim),
		releases:    make(map[string][]string),
	}
}

// SetView applies a configuration and an instance list. Each is ignored if its revision is not higher than the current one.
// Leases on resources that nobody may hold under the new configuration end at once.
func (h *Holder) SetView(now time.Time, index *config.Index, list *config.InstanceList) {
	changed := false
	if h.index == nil || index.Revision() > h.index.Revision() {
		h.index, changed = index, true
		h.resources = Describe(index)
	}
	if h.list == nil || list.Revision > h.list.Revision {
		h.list, changed = list, true
		h.byRegion = newInstancesByRegion(list.Instances)
	}
	if !changed {
		return
	}
	h.revision = h.index.Revision()
	for _, resource := range h.Wanted() {
		h.applyView(now, h.leases[resource])
	}
}

// applyView applies the current configuration and instance list to the state of a resource. A lease that a quorum of the
// previous voter set promised stays valid until its end. Its renewal needs a quorum of the new set.
func (h *Holder) applyView(now time.Time, s *leaseState) {
	info, known := h.resources[s.resource]
	if !known {
		info = Info{Refusal: ReasonUnknownResource}
	}
	if info.Refusal != "" {
		h.abandon(s)
	}
	s.info = info
	set := h.byRegion.voterSet(s.resource, info.Region)
	hash := HashVoterSet(set)
	if hash == s.voterSetHash && s.voters != nil {
		return
	}
	s.voters, s.voterSetHash = set, hash
	s.votes = make(map[string]vote)
	s.refusedAsHeld = make(map[string]bool)
	s.nextClaimAt = now
}

// Want makes the holder claim a resource until Drop is called.
func (h *Holder) Want(now time.Time, resource string) {
	if h.leases[resource] != nil {
		return
	}
	s := &leaseState{resource: resource, votes: make(map[string]vote), refusedAsHeld: make(map[string]bool)}
	h.leases[resource] = s
	h.applyView(now, s)
}

// Drop ends the lease at once. The next call of Claims releases the promises.
func (h *Holder) Drop(resource string) {
	s := h.leases[resource]
	if s == nil {
		return
	}
	h.abandon(s)
	delete(h.leases, resource)
	// Promises for these claims must not count if the resource is wanted again.
	for _, p := range h.pending {
		delete(p.items, resource)
	}
}

// Wanted returns the wanted resources in name order.
func (h *Holder) Wanted() []string {
	return slices.Sorted(maps.Keys(h.leases))
}

// Claims returns the claims and releases to send now, one message per voter in name order. The length of the leases counts
// from now, so the caller should send them without delay.
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
	for _, s := range h.due(now) {
		h.addClaims(claims, now, wallMS, s)
	}
	result := make([]Outgoing, 0, len(claims))
	for _, voter := range slices.Sorted(maps.Keys(claims)) {
		result = append(result, Outgoing{Voter: voter, Claim: claims[voter]})
	}
	return result
}

// claimTo returns the claim to a voter. If there is none yet, it creates one and adds it to claims and to the pending ones.
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

// addClaims adds a resource to the claims to its voters.
func (h *Holder) addClaims(claims map[string]*peer.Claim, now time.Time, wallMS int64, s *leaseState) {
	item := s.claimItem(wallMS)
	for _, voter := range s.voters {
		claim := h.claimTo(claims, now, voter)
		claim.Items = append(claim.Items, item)
		sent := pendingItem{attempt: s.attempt, voterSetHash: s.voterSetHash, labelEnd: item.LabelEnd}
		h.pending[claim.Sequence].items[s.resource] = sent
	}
	clear(s.refusedAsHeld)
	s.nextClaimAt = now.Add(RenewEvery)
}

// NextClaim returns the time at which Claims next has something to send, or false if there is nothing to claim or release.
func (h *Holder) NextClaim(now time.Time) (time.Time, bool) {
	if len(h.releases) > 0 {
		return now, true
	}
	next, found := time.Time{}, false
	for _, s := range h.leases {
		if s.claimable() && (!found || s.nextClaimAt.Before(next)) {
			next, found = s.nextClaimAt, true
		}
	}
	return next, found
}

// due returns the resources to claim now, in name order. If any is due, those due within batchWindow are included.
func (h *Holder) due(now time.Time) []*leaseState {
	var due []*leaseState
	anyDue := false
	for _, name := range h.Wanted() {
		s := h.leases[name]
		s.expire(now)
		if !s.claimable() || s.nextClaimAt.After(now.Add(batchWindow)) {
			continue
		}
		due = append(due, s)
		anyDue = anyDue || !s.nextClaimAt.After(now)
	}
	if !anyDue {
		return nil
	}
	return due
}

// expirePending deletes claims that were sent so long ago that promises for them can no longer extend a lease.
func (h *Holder) expirePending(now time.Time) {
	for sequence, p := range h.pending {
		if !now.Before(p.sentAt.Add(LeaseLength)) {
			delete(h.pending, sequence)
		}
	}
}

// HandlePromise applies a voter's reply to a claim. Replies that are late or repeated, and items of an attempt that has
// ended, are ignored.
func (h *Holder) HandlePromise(now time.Time, wallMS int64, voter string, promise *peer.Promise) {
	p := h.pending[promise.Sequence]
	if p == nil || p.voter != voter {
		return
	}
	delete(h.pending, promise.Sequence)
	for i := range promise.Items {
		item := &promise.Items[i]
		s := h.leases[item.Resource]
		sent, claimed := p.items[item.Resource]
		if s == nil || !claimed {
			continue
		}
		s.expire(now)
		if sent.attempt != s.attempt || sent.voterSetHash != s.voterSetHash {
			continue
		}
		if item.Granted {
			s.addPromise(voter, p.sentAt, sent.labelEnd, item.LabelEnd)
			s.updateLease(now, wallMS)
			continue
		}
		if item.Reason == ReasonHeld {
			s.refusedAsHeld[voter] = true
			h.backOff(now, s)
		}
	}
}

// backOff ends an attempt if so many voters have promised the resource to other holders that no quorum remains. It sets a
// pseudo-random delay until the next attempt. Without the delay, two holders with half of the voters each could block each
// other for ever.
func (h *Holder) backOff(now time.Time, s *leaseState) {
	if s.leased || len(s.voters)-len(s.refusedAsHeld) >= Quorum(len(s.voters)) {
		return
	}
	h.abandon(s)
	seed := h.name + "\x00" + s.resource + "\x00" + strconv.FormatUint(s.attempt, 10) + "\x00" +
		strconv.FormatInt(h.incarnation, 10)
	steps := 1 + xxhash.Sum64String(seed)%backoffSteps
	s.nextClaimAt = now.Add(time.Duration(steps) * backoffUnit)
}

// abandon ends the attempt and the lease, and queues releases to the voters that may have promised the resource.
func (h *Holder) abandon(s *leaseState) {
	if s.info.Refusal == "" {
		for _, voter := range s.voters {
			if !slices.Contains(h.releases[voter], s.resource) {
				h.releases[voter] = append(h.releases[voter], s.resource)
			}
		}
	}
	s.endAttempt()
}

// Holds returns the lease on a resource if the holder may act on it now.
func (h *Holder) Holds(now time.Time, resource string) (Lease, bool) {
	s := h.leases[resource]
	if s == nil {
		return Lease{}, false
	}
	s.expire(now)
	if !s.leased {
		return Lease{}, false
	}
	return s.lease, true
}

func (s *leaseState) claimable() bool { return s.info.Refusal == "" && len(s.voters) > 0 }

package lease

import (
	"slices"
	"time"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/peer"
)

// The reasons for which a voter refuses a claim, besides those for which nobody may hold the resource.
const (
	// ReasonNotVoter: the instance is not in its own voter set for the resource.
	ReasonNotVoter = "not_voter"
	// ReasonRevision: the holder's configuration revision is lower than the voter's.
	ReasonRevision = "revision"
	// ReasonVoterSet: holder and voter have different voter sets for the resource.
	ReasonVoterSet = "voter_set"
	// ReasonHoldOff: the voter started or its voter set changed too recently.
	ReasonHoldOff = "silent"
	// ReasonHeld: the promise to another holder has not expired.
	ReasonHeld = "held"
	// ReasonLabel: the label end is missing or too far ahead of the voter's wall clock.
	ReasonLabel = "label"
	// ReasonReleased answers a release.
	ReasonReleased = "released"
)

// Voter keeps the promises of one instance in memory.
type Voter struct {
	name     string
	revision uint64
	index    *config.Index
	list     *config.InstanceList
	seats    map[string]*seat
}

// seat is the voter's state for one resource.
type seat struct {
	info        Info
	set         []string
	hash        uint64
	member      bool
	silentUntil time.Time
	// past holds the voter sets that were replaced less than VoterHoldOff ago.
	past    []pastSet
	promise promise
	// othersEnd is the highest label end that may have been promised to holders other than the promise's.
	othersEnd int64
	// eras holds the distinct voter sets since othersEnd was last raised to a floor.
	eras [][]string
}

type pastSet struct {
	set   []string
	until time.Time
}

// promise is the latest promise for a resource; it stays as a record after it expired.
type promise struct {
	holder      string
	incarnation int64
	sequence    uint64
	expires     time.Time
	labelEnd    int64
}

// NewVoter returns a voter that refuses every claim until SetView gave it a configuration and an instance list.
func NewVoter(name string) *Voter {
	return &Voter{name: name, seats: make(map[string]*seat)}
}

// SetView adopts a configuration and an instance list. A lower revision than the one in force is ignored. The voter
// promises nothing for VoterHoldOff on each resource that it becomes a voter of, which at the first call are all, and on
// each whose voter set changed so far that quorums of a recent set and the new one may be disjoint.
func (v *Voter) SetView(now time.Time, wallMS int64, index *config.Index, list *config.InstanceList) {
	changed := false
	if v.index == nil || index.Revision() > v.index.Revision() {
		v.index, changed = index, true
	}
	if v.list == nil || list.Revision > v.list.Revision {
		v.list, changed = list, true
	}
	if !changed {
		return
	}
	v.revision = v.index.Revision()
	resources := Describe(v.index)
	for resource := range v.seats {
		if _, ok := resources[resource]; !ok {
			delete(v.seats, resource)
		}
	}
	electorates := newElectorates(v.list.Instances)
	for resource, info := range resources {
		s := v.seats[resource]
		if s == nil {
			s = &seat{}
			v.seats[resource] = s
		}
		s.info = info
		s.replaceSet(v.name, electorates.voterSet(resource, info.Region), now, wallMS)
	}
}

// replaceSet adopts a voter set and starts the silence that the change demands.
func (s *seat) replaceSet(name string, set []string, now time.Time, wallMS int64) {
	hash := HashVoterSet(set)
	member := slices.Contains(set, name)
	if member && !s.member {
		s.silentUntil = now.Add(VoterHoldOff)
		s.raiseFloor(wallMS)
	}
	s.past = slices.DeleteFunc(s.past, func(p pastSet) bool { return !now.Before(p.until) })
	if s.set != nil && hash != s.hash {
		s.past = append(s.past, pastSet{set: s.set, until: now.Add(VoterHoldOff)})
	}
	s.set, s.hash, s.member = set, hash, member
	for _, p := range s.past {
		if !QuorumsIntersect(p.set, set) && p.until.After(s.silentUntil) {
			s.silentUntil = p.until
		}
	}
	s.enterEra(wallMS)
}

// enterEra raises the floor if a quorum of an earlier voter set and one of the present set may be disjoint: the
// promises of the former are then remembered by no voter of the latter, however long ago the change was.
func (s *seat) enterEra(wallMS int64) {
	known := func(era []string) bool { return slices.Equal(era, s.set) }
	if slices.ContainsFunc(s.eras, known) {
		return
	}
	disjoint := func(era []string) bool { return !QuorumsIntersect(era, s.set) }
	if slices.ContainsFunc(s.eras, disjoint) {
		s.raiseFloor(wallMS)
	}
	s.eras = append(s.eras, s.set)
}

// raiseFloor assumes that labels up to the floor were promised to an unknown holder.
func (s *seat) raiseFloor(wallMS int64) {
	s.othersEnd = max(s.othersEnd, wallMS+LabelFloor.Milliseconds())
	s.eras = nil
}

// Answer decides on each item of a claim.
func (v *Voter) Answer(now time.Time, wallMS int64, claim *peer.Claim) *peer.Promise {
	answer := &peer.Promise{Sequence: claim.Sequence, Revision: v.revision, Items: make([]peer.PromiseItem, 0, len(claim.Items))}
	for i := range claim.Items {
		answer.Items = append(answer.Items, v.answerItem(now, wallMS, claim, &claim.Items[i]))
	}
	return answer
}

func (v *Voter) answerItem(now time.Time, wallMS int64, claim *peer.Claim, item *peer.ClaimItem) peer.PromiseItem {
	refuse := func(reason string) peer.PromiseItem {
		return peer.PromiseItem{Resource: item.Resource, Reason: reason}
	}
	s := v.seats[item.Resource]
	if s == nil {
		return refuse(ReasonUnknownResource)
	}
	if item.Release {
		s.release(now, claim)
		return refuse(ReasonReleased)
	}
	if claim.Revision < v.revision {
		return refuse(ReasonRevision)
	}
	if reason := s.refusal(now, wallMS, claim, item); reason != "" {
		return refuse(reason)
	}
	s.grant(now, claim, item)
	return peer.PromiseItem{Resource: item.Resource, Granted: true, LabelEnd: s.reportedEnd(item.Resource)}
}

// refusal returns the reason to refuse a claim, or "".
func (s *seat) refusal(now time.Time, wallMS int64, claim *peer.Claim, item *peer.ClaimItem) string {
	switch {
	case s.info.Refusal != "":
		return s.info.Refusal
	case !s.member:
		return ReasonNotVoter
	case item.VoterSet != s.hash:
		return ReasonVoterSet
	case now.Before(s.silentUntil):
		return ReasonHoldOff
	case !s.promise.isTo(claim) && now.Before(s.promise.expires):
		return ReasonHeld
	case IsKeySlot(item.Resource) && !labelEndAllowed(item.LabelEnd, wallMS):
		return ReasonLabel
	}
	return ""
}

func labelEndAllowed(end, wallMS int64) bool {
	return end > 0 && end <= wallMS+(LabelLength+MaxClockSkew).Milliseconds()
}

// grant records a promise. The label ends of earlier holders stay in othersEnd, and so do the claimant's own from
// before another holder came between.
func (s *seat) grant(now time.Time, claim *peer.Claim, item *peer.ClaimItem) {
	if !s.promise.isTo(claim) {
		s.othersEnd = max(s.othersEnd, s.promise.labelEnd)
		s.promise = promise{holder: claim.Holder, incarnation: claim.Incarnation}
	}
	s.promise.sequence = max(s.promise.sequence, claim.Sequence)
	s.promise.labelEnd = max(s.promise.labelEnd, item.LabelEnd)
	s.promise.expires = now.Add(PromiseLength)
}

// release ends a promise early. A release that is older than the promise is ignored: the holder may count on a claim
// that it sent later and that arrived first.
func (s *seat) release(now time.Time, claim *peer.Claim) {
	if s.promise.isTo(claim) && claim.Sequence >= s.promise.sequence {
		s.promise.expires = now
	}
}

func (s *seat) reportedEnd(resource string) int64 {
	if !IsKeySlot(resource) {
		return 0
	}
	return s.othersEnd
}

func (p *promise) isTo(claim *peer.Claim) bool {
	return p.holder == claim.Holder && p.incarnation == claim.Incarnation
}

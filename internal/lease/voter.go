package lease

import (
	"slices"
	"time"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/peer"
)

// The reasons for which a voter refuses a claim, in addition to those for which nobody may hold the resource.
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
	// ReasonReleased: the item was a release.
	ReasonReleased = "released"
)

// Voter holds the promises of one instance, in memory only.
type Voter struct {
	name      string
	revision  uint64
	index     *config.Index
	list      *config.InstanceList
	resources map[string]*resourceState
}

// resourceState is the voter's state of one resource.
type resourceState struct {
	info         Info
	voters       []string
	voterSetHash uint64
	isVoter      bool
	holdOffUntil time.Time
	// previousSets holds the voter sets that were replaced less than VoterHoldOff ago.
	previousSets []previousSet
	promise      promise
	// otherLabelEnd is the highest label end that may have been promised to holders other than that of promise.
	otherLabelEnd int64
	// setsSinceFloor holds the distinct voter sets since raiseFloor was last called.
	setsSinceFloor [][]string
}

type previousSet struct {
	set   []string
	until time.Time
}

// promise is the latest promise for a resource. It is kept after it has expired, because its label end still counts.
type promise struct {
	holder      string
	incarnation int64
	sequence    uint64
	expires     time.Time
	labelEnd    int64
}

// NewVoter returns a voter that refuses every claim until SetView gives it a configuration and an instance list.
func NewVoter(name string) *Voter {
	return &Voter{name: name, resources: make(map[string]*resourceState)}
}

// SetView applies a configuration and an instance list. Each is ignored if its revision is not higher than the current one.
// For VoterHoldOff, the voter makes no promises for resources that it has become a voter of (at the first call, for all of
// its resources), or whose voter set changed so much that quorums of a recent set and of the new one may be disjoint.
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
	described := Describe(v.index)
	for resource := range v.resources {
		if _, ok := described[resource]; !ok {
			delete(v.resources, resource)
		}
	}
	byRegion := newInstancesByRegion(v.list.Instances)
	for resource, info := range described {
		s := v.resources[resource]
		if s == nil {
			s = &resourceState{}
			v.resources[resource] = s
		}
		s.info = info
		s.setVoterSet(v.name, byRegion.voterSet(resource, info.Region), now, wallMS)
	}
}

// setVoterSet applies a voter set and starts the hold-off that the change requires.
func (s *resourceState) setVoterSet(name string, set []string, now time.Time, wallMS int64) {
	hash := HashVoterSet(set)
	isVoter := slices.Contains(set, name)
	if isVoter && !s.isVoter {
		s.holdOffUntil = now.Add(VoterHoldOff)
		s.raiseFloor(wallMS)
	}
	s.previousSets = slices.DeleteFunc(s.previousSets, func(p previousSet) bool { return !now.Before(p.until) })
	if s.voters != nil && hash != s.voterSetHash {
		s.previousSets = append(s.previousSets, previousSet{set: s.voters, until: now.Add(VoterHoldOff)})
	}
	s.voters, s.voterSetHash, s.isVoter = set, hash, isVoter
	for _, p := range s.previousSets {
		if !QuorumsIntersect(p.set, set) && p.until.After(s.holdOffUntil) {
			s.holdOffUntil = p.until
		}
	}
	s.recordSet(wallMS)
}

// recordSet raises the floor if a quorum of an earlier voter set and one of the current set may be disjoint. The voters of
// the current quorum may then have no record of the labels promised by the earlier one, even if the change was long ago.
func (s *resourceState) recordSet(wallMS int64) {
	recorded := func(earlier []string) bool { return slices.Equal(earlier, s.voters) }
	if slices.ContainsFunc(s.setsSinceFloor, recorded) {
		return
	}
	disjoint := func(earlier []string) bool { return !QuorumsIntersect(earlier, s.voters) }
	if slices.ContainsFunc(s.setsSinceFloor, disjoint) {
		s.raiseFloor(wallMS)
	}
	s.setsSinceFloor = append(s.setsSinceFloor, s.voters)
}

// raiseFloor raises otherLabelEnd as if labels up to the floor had been promised to an unknown holder.
func (s *resourceState) raiseFloor(wallMS int64) {
	s.otherLabelEnd = max(s.otherLabelEnd, wallMS+LabelFloor.Milliseconds())
	s.setsSinceFloor = nil
}

// Answer grants or refuses each item of a claim.
func (v *Voter) Answer(now time.Time, wallMS int64, claim *peer.Claim) *peer.Promise {
	reply := &peer.Promise{Sequence: claim.Sequence, Revision: v.revision, Items: make([]peer.PromiseItem, 0, len(claim.Items))}
	for i := range claim.Items {
		reply.Items = append(reply.Items, v.answerItem(now, wallMS, claim, &claim.Items[i]))
	}
	return reply
}

func (v *Voter) answerItem(now time.Time, wallMS int64, claim *peer.Claim, item *peer.ClaimItem) peer.PromiseItem {
	refuse := func(reason string) peer.PromiseItem {
		return peer.PromiseItem{Resource: item.Resource, Reason: reason}
	}
	s := v.resources[item.Resource]
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
	return peer.PromiseItem{Resource: item.Resource, Granted: true, LabelEnd: s.reportedLabelEnd(item.Resource)}
}

// refusal returns the reason to refuse a claim, or "".
func (s *resourceState) refusal(now time.Time, wallMS int64, claim *peer.Claim, item *peer.ClaimItem) string {
	switch {
	case s.info.Refusal != "":
		return s.info.Refusal
	case !s.isVoter:
		return ReasonNotVoter
	case item.VoterSet != s.voterSetHash:
		return ReasonVoterSet
	case now.Before(s.holdOffUntil):
		return ReasonHoldOff
	case !s.promise.madeTo(claim) && now.Before(s.promise.expires):
		return ReasonHeld
	case IsKeySlot(item.Resource) && !labelEndAllowed(item.LabelEnd, wallMS):
		return ReasonLabel
	}
	return ""
}

func labelEndAllowed(end, wallMS int64) bool {
	return end > 0 && end <= wallMS+(LabelLength+MaxClockSkew).Milliseconds()
}

// grant records a promise. The label ends of earlier holders remain in otherLabelEnd. If the claimant itself was an earlier
// holder and another one followed it, this includes the claimant's earlier label end.
func (s *resourceState) grant(now time.Time, claim *peer.Claim, item *peer.ClaimItem) {
	if !s.promise.madeTo(claim) {
		s.otherLabelEnd = max(s.otherLabelEnd, s.promise.labelEnd)
		s.promise = promise{holder: claim.Holder, incarnation: claim.Incarnation}
	}
	s.promise.sequence = max(s.promise.sequence, claim.Sequence)
	s.promise.labelEnd = max(s.promise.labelEnd, item.LabelEnd)
	s.promise.expires = now.Add(PromiseLength)
}

// release ends a promise early. A release that was sent before the latest claim of the promise is ignored: the holder's
// lease may rely on that claim, which has overtaken the release.
func (s *resourceState) release(now time.Time, claim *peer.Claim) {
	if s.promise.madeTo(claim) && claim.Sequence >= s.promise.sequence {
		s.promise.expires = now
	}
}

func (s *resourceState) reportedLabelEnd(resource string) int64 {
	if !IsKeySlot(resource) {
		return 0
	}
	return s.otherLabelEnd
}

func (p *promise) madeTo(claim *peer.Claim) bool {
	return p.holder == claim.Holder && p.incarnation == claim.Incarnation
}

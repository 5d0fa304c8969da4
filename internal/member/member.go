// Package member judges which instances are alive from heartbeats among neighbours. It only advises who tries to own a
// resource; leases decide who owns it.
package member

import (
	"math/bits"
	"sort"
	"time"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/peer"
)

const (
	// HeartbeatInterval is the time between two heartbeats to the same neighbour.
	HeartbeatInterval = time.Second
	// SuspectAfter is the silence after which a neighbour is suspected.
	SuspectAfter = 3 * time.Second
	// DeadAfter is the silence after which a neighbour is taken for dead.
	DeadAfter = 6 * time.Second
	// fullMeshLimit is the number of instances up to which all are neighbours.
	fullMeshLimit = 16
	// neighbourCount is the number of ring neighbours in larger fleets.
	neighbourCount = 8
	// maxUpdates bounds the updates in one heartbeat.
	maxUpdates = 16
	// retransmitFactor times log2 of the fleet's size is how often an update is passed on.
	retransmitFactor = 3
)

// Member is what is known of one instance.
type Member struct {
	Instance    config.Instance
	Incarnation int64
	Sequence    uint64
	State       peer.MemberState
	// LastContact is the time of the last heartbeat that came directly from the member; zero if none came.
	LastContact time.Time
	// Revision and ListRevision are the ones in the last heartbeat.
	Revision     uint64
	ListRevision uint64
	// passOn is the number of heartbeats that still carry the member's state.
	passOn int
}

// Change is a transition of a member's state.
type Change struct {
	Name   string
	From   peer.MemberState
	To     peer.MemberState
	Reason string
}

// Table holds the members that the instance list names. It is not safe for concurrent use.
type Table struct {
	self        string
	incarnation int64
	sequence    uint64
	leaving     bool
	members     map[string]*Member
	ring        []string
	turn        int
	// version changes with the set of live instances.
	version uint64
}

// New returns a table for the instance named self, whose process started at incarnation (wall-clock milliseconds).
func New(self string, incarnation int64) *Table {
	return &Table{self: self, incarnation: incarnation, members: make(map[string]*Member)}
}

// SetInstances takes over a new instance list. A listed instance counts as suspect until it is heard of.
func (t *Table) SetInstances(now time.Time, instances []config.Instance) {
	listed := make(map[string]bool, len(instances))
	t.ring = t.ring[:0]
	for _, instance := range instances {
		listed[instance.Name] = true
		t.ring = append(t.ring, instance.Name)
		m := t.members[instance.Name]
		if m == nil {
			m = &Member{State: peer.MemberSuspect, LastContact: now}
			t.members[instance.Name] = m
		}
		m.Instance = instance
	}
	for name := range t.members {
		if !listed[name] {
			delete(t.members, name)
		}
	}
	sort.Strings(t.ring)
	t.version++
}

// SetLeaving announces a planned stop of this instance.
func (t *Table) SetLeaving() {
	t.leaving = true
	t.sequence++
	t.version++
}

// Neighbours returns the instances to send a heartbeat to now: the ring neighbours and, in large fleets, one other
// instance in turn, so that updates reach members whose neighbours were all replaced.
func (t *Table) Neighbours() []config.Instance {
	names := t.ringNeighbours()
	if extra := t.nextInTurn(names); extra != "" {
		names = append(names, extra)
	}
	instances := make([]config.Instance, 0, len(names))
	for _, name := range names {
		instances = append(instances, t.members[name].Instance)
	}
	return instances
}

func (t *Table) ringNeighbours() []string {
	others := make([]string, 0, len(t.ring))
	position := sort.SearchStrings(t.ring, t.self)
	for offset := 1; offset <= len(t.ring); offset++ {
		name := t.ring[(position+offset)%len(t.ring)]
		if name != t.self {
			others = append(others, name)
		}
	}
	if len(t.ring) <= fullMeshLimit {
		return others
	}
	half := neighbourCount / 2
	return append(others[:half:half], others[len(others)-half:]...)
}

func (t *Table) nextInTurn(taken []string) string {
	if len(t.ring) <= fullMeshLimit {
		return ""
	}
	t.turn = (t.turn + 1) % len(t.ring)
	name := t.ring[t.turn]
	if name == t.self {
		return ""
	}
	for _, other := range taken {
		if other == name {
			return ""
		}
	}
	return name
}

// Outgoing returns this instance's heartbeat to another one with the updates that are still to be passed on. A receiver
// that is suspected or taken for dead always learns it, so that it can raise its sequence number; a heartbeat alone
// does not revive it, since members further away would not see a newer version.
func (t *Table) Outgoing(to string, revision, listRevision uint64) peer.Heartbeat {
	state := peer.MemberAlive
	if t.leaving {
		state = peer.MemberLeaving
	}
	return peer.Heartbeat{
		Name:         t.self,
		Incarnation:  t.incarnation,
		Sequence:     t.sequence,
		State:        state,
		Revision:     revision,
		ListRevision: listRevision,
		Updates:      t.takeUpdates(to),
	}
}

func (t *Table) takeUpdates(to string) []peer.MemberUpdate {
	var updates []peer.MemberUpdate
	for _, name := range t.ring {
		m := t.members[name]
		accusedReceiver := name == to && (m.State == peer.MemberSuspect || m.State == peer.MemberDead)
		if !accusedReceiver && (m.passOn == 0 || len(updates) >= maxUpdates) {
			continue
		}
		m.passOn = max(0, m.passOn-1)
		updates = append(updates, peer.MemberUpdate{
			Name: name, Incarnation: m.Incarnation, Sequence: m.Sequence, State: m.State,
		})
	}
	return updates
}

// Receive takes a heartbeat and returns the transitions that it caused.
func (t *Table) Receive(now time.Time, heartbeat peer.Heartbeat) []Change {
	var changes []Change
	if m := t.members[heartbeat.Name]; m != nil && heartbeat.Name != t.self && heartbeat.Incarnation >= m.Incarnation {
		m.LastContact = now
		m.Revision = heartbeat.Revision
		m.ListRevision = heartbeat.ListRevision
		changes = t.apply(changes, peer.MemberUpdate{
			Name: heartbeat.Name, Incarnation: heartbeat.Incarnation, Sequence: heartbeat.Sequence, State: heartbeat.State,
		}, "heartbeat")
	}
	for _, update := range heartbeat.Updates {
		changes = t.receiveUpdate(now, changes, update)
	}
	return changes
}

func (t *Table) receiveUpdate(now time.Time, changes []Change, update peer.MemberUpdate) []Change {
	if update.Name == t.self {
		t.refute(update)
		return changes
	}
	m := t.members[update.Name]
	if m == nil {
		return changes
	}
	// A member that was heard directly a moment ago is not taken for dead on the word of another.
	accused := update.State == peer.MemberSuspect || update.State == peer.MemberDead
	if accused && update.Incarnation == m.Incarnation && now.Sub(m.LastContact) < SuspectAfter && m.State == peer.MemberAlive {
		return changes
	}
	return t.apply(changes, update, "update")
}

// refute raises the sequence number when others doubt this instance.
func (t *Table) refute(update peer.MemberUpdate) {
	doubted := update.State == peer.MemberSuspect || update.State == peer.MemberDead
	if doubted && update.Incarnation == t.incarnation && update.Sequence >= t.sequence {
		t.sequence = update.Sequence + 1
	}
}

// apply takes over an update that is newer than what is known.
func (t *Table) apply(changes []Change, update peer.MemberUpdate, reason string) []Change {
	m := t.members[update.Name]
	if !newer(update, m) {
		return changes
	}
	if m.State != update.State || m.Incarnation != update.Incarnation {
		changes = append(changes, Change{Name: update.Name, From: m.State, To: update.State, Reason: reason})
		t.version++
		m.passOn = t.passOnCount()
	}
	// A raised sequence number refutes a suspicion that members further away may still believe.
	if m.Sequence != update.Sequence {
		m.passOn = t.passOnCount()
	}
	m.Incarnation = update.Incarnation
	m.Sequence = update.Sequence
	m.State = update.State
	return changes
}

func newer(update peer.MemberUpdate, m *Member) bool {
	if update.Incarnation != m.Incarnation {
		return update.Incarnation > m.Incarnation
	}
	if update.Sequence != m.Sequence {
		return update.Sequence > m.Sequence
	}
	return severity(update.State) > severity(m.State)
}

func severity(state peer.MemberState) int {
	switch state {
	case peer.MemberAlive:
		return 0
	case peer.MemberSuspect:
		return 1
	case peer.MemberLeaving:
		return 2
	default:
		return 3
	}
}

func (t *Table) passOnCount() int {
	return retransmitFactor * (bits.Len(uint(len(t.ring))) + 1)
}

// Tick marks neighbours that have been silent and returns the transitions.
func (t *Table) Tick(now time.Time) []Change {
	var changes []Change
	for _, name := range t.ringNeighbours() {
		m := t.members[name]
		silence := now.Sub(m.LastContact)
		update := peer.MemberUpdate{Name: name, Incarnation: m.Incarnation, Sequence: m.Sequence}
		switch {
		case silence >= DeadAfter && m.State != peer.MemberDead:
			update.State = peer.MemberDead
		case silence >= SuspectAfter && m.State == peer.MemberAlive:
			update.State = peer.MemberSuspect
		default:
			continue
		}
		changes = t.apply(changes, update, "silent")
	}
	return changes
}

// Version changes whenever Live may return another result, so that callers need not compare results.
func (t *Table) Version() uint64 { return t.version }

// Live returns the instances that are alive and not leaving, this one included, in name order.
func (t *Table) Live() []config.Instance {
	var live []config.Instance
	for _, name := range t.ring {
		m := t.members[name]
		selfLive := name == t.self && !t.leaving
		if selfLive || (name != t.self && m.State == peer.MemberAlive) {
			live = append(live, m.Instance)
		}
	}
	return live
}

// Members returns all listed members in name order.
func (t *Table) Members() []Member {
	members := make([]Member, 0, len(t.ring))
	for _, name := range t.ring {
		m := *t.members[name]
		if name == t.self {
			m.State = peer.MemberAlive
			if t.leaving {
				m.State = peer.MemberLeaving
			}
			m.Incarnation = t.incarnation
			m.Sequence = t.sequence
		}
		members = append(members, m)
	}
	return members
}

// Leaving tells whether this instance announced a planned stop.
func (t *Table) Leaving() bool { return t.leaving }

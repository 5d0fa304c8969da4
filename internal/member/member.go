// Package member detects which instances are alive. Neighbours exchange heartbeats, which also spread state updates about
// other members. The result only selects the instance that tries to acquire a resource; leases decide who owns it.
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
	// SuspectAfter is the time without a heartbeat after which a neighbour becomes suspect.
	SuspectAfter = 3 * time.Second
	// DeadAfter is the time without a heartbeat after which a neighbour is considered dead.
	DeadAfter = 6 * time.Second
	// fullMeshLimit is the largest number of instances with which every instance is a neighbour of every other.
	fullMeshLimit = 16
	// neighbourCount is the number of ring neighbours of an instance in larger fleets.
	neighbourCount = 8
	// maxUpdates is the maximum number of updates in one heartbeat. An update about its receiver may exceed it.
	maxUpdates = 16
	// retransmitFactor times (floor(log2 of the fleet's size) + 2) is the number of heartbeats that carry an update.
	retransmitFactor = 3
)

// Member is the known state of one instance.
type Member struct {
	Instance    config.Instance
	Incarnation int64
	Sequence    uint64
	State       peer.MemberState
	// LastContact is the time of the last heartbeat received directly from the member; before the first heartbeat, the
	// time at which the member was added.
	LastContact time.Time
	// Revision and ListRevision are the revisions that the member's last heartbeat reported.
	Revision     uint64
	ListRevision uint64
	// retransmits is the remaining number of heartbeats that carry the member's state.
	retransmits int
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
	rotation    int
	// version increases whenever the set of live instances may have changed.
	version uint64
}

// New returns a table for the instance named self, whose process started at incarnation (wall-clock milliseconds).
func New(self string, incarnation int64) *Table {
	return &Table{self: self, incarnation: incarnation, members: make(map[string]*Member)}
}

// SetInstances applies a new instance list. A new instance is suspect until a heartbeat or an update reports its state.
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

// SetLeaving announces the graceful shutdown of this instance.
func (t *Table) SetLeaving() {
	t.leaving = true
	t.sequence++
	t.version++
}

// Neighbours returns the instances to send a heartbeat to now: the ring neighbours and, in large fleets, another instance
// by rotation. Without the rotation, no update would reach a member whose neighbours were all replaced.
func (t *Table) Neighbours() []config.Instance {
	names := t.ringNeighbours()
	if additional := t.nextInRotation(names); additional != "" {
		names = append(names, additional)
	}
	instances := make([]config.Instance, 0, len(names))
	for _, name := range names {
		instances = append(instances, t.members[name].Instance)
	}
	return instances
}

func (t *Table) ringNeighbours() []string {
	names := make([]string, 0, len(t.ring))
	position := sort.SearchStrings(t.ring, t.self)
	for offset := 1; offset <= len(t.ring); offset++ {
		name := t.ring[(position+offset)%len(t.ring)]
		if name != t.self {
			names = append(names, name)
		}
	}
	if len(t.ring) <= fullMeshLimit {
		return names
	}
	half := neighbourCount / 2
	return append(names[:half:half], names[len(names)-half:]...)
}

func (t *Table) nextInRotation(chosen []string) string {
	if len(t.ring) <= fullMeshLimit {
		return ""
	}
	t.rotation = (t.rotation + 1) % len(t.ring)
	name := t.ring[t.rotation]
	if name == t.self {
		return ""
	}
	for _, neighbour := range chosen {
		if neighbour == name {
			return ""
		}
	}
	return name
}

// HeartbeatTo returns this instance's heartbeat to another instance, with updates about members whose state changed. If
// the receiver is considered suspect or dead, the updates always contain that state. The receiver then refutes it with a
// higher sequence number, which also reaches members that are not its neighbours. A heartbeat with the old number does not
// make the receiver alive again.
func (t *Table) HeartbeatTo(to string, revision, listRevision uint64) peer.Heartbeat {
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
		Updates:      t.nextUpdates(to),
	}
}

func (t *Table) nextUpdates(to string) []peer.MemberUpdate {
	var updates []peer.MemberUpdate
	for _, name := range t.ring {
		m := t.members[name]
		mustRefute := name == to && (m.State == peer.MemberSuspect || m.State == peer.MemberDead)
		if !mustRefute && (m.retransmits == 0 || len(updates) >= maxUpdates) {
			continue
		}
		m.retransmits = max(0, m.retransmits-1)
		updates = append(updates, peer.MemberUpdate{
			Name: name, Incarnation: m.Incarnation, Sequence: m.Sequence, State: m.State,
		})
	}
	return updates
}

// Receive applies a heartbeat and returns the transitions that it caused.
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
	// A member whose last direct heartbeat is younger than SuspectAfter does not become suspect or dead because of what
	// another instance reports.
	faulty := update.State == peer.MemberSuspect || update.State == peer.MemberDead
	if faulty && update.Incarnation == m.Incarnation && now.Sub(m.LastContact) < SuspectAfter && m.State == peer.MemberAlive {
		return changes
	}
	return t.apply(changes, update, "update")
}

// refute raises this instance's sequence number if an update reports it as suspect or dead, so that its next heartbeat
// supersedes that update.
func (t *Table) refute(update peer.MemberUpdate) {
	faulty := update.State == peer.MemberSuspect || update.State == peer.MemberDead
	if faulty && update.Incarnation == t.incarnation && update.Sequence >= t.sequence {
		t.sequence = update.Sequence + 1
	}
}

// apply stores an update that supersedes the known state of the member.
func (t *Table) apply(changes []Change, update peer.MemberUpdate, reason string) []Change {
	m := t.members[update.Name]
	if !supersedes(update, m) {
		return changes
	}
	if m.State != update.State || m.Incarnation != update.Incarnation {
		changes = append(changes, Change{Name: update.Name, From: m.State, To: update.State, Reason: reason})
		t.version++
		m.retransmits = t.retransmitLimit()
	}
	// A higher sequence number refutes a suspicion, which members that are not neighbours may still hold.
	if m.Sequence != update.Sequence {
		m.retransmits = t.retransmitLimit()
	}
	m.Incarnation = update.Incarnation
	m.Sequence = update.Sequence
	m.State = update.State
	return changes
}

func supersedes(update peer.MemberUpdate, m *Member) bool {
	if update.Incarnation != m.Incarnation {
		return update.Incarnation > m.Incarnation
	}
	if update.Sequence != m.Sequence {
		return update.Sequence > m.Sequence
	}
	return precedence(update.State) > precedence(m.State)
}

func precedence(state peer.MemberState) int {
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

func (t *Table) retransmitLimit() int {
	return retransmitFactor * (bits.Len(uint(len(t.ring))) + 1)
}

// Tick marks neighbours as suspect or dead if their heartbeats are overdue, and returns the transitions.
func (t *Table) Tick(now time.Time) []Change {
	var changes []Change
	for _, name := range t.ringNeighbours() {
		m := t.members[name]
		sinceContact := now.Sub(m.LastContact)
		update := peer.MemberUpdate{Name: name, Incarnation: m.Incarnation, Sequence: m.Sequence}
		switch {
		case sinceContact >= DeadAfter && m.State != peer.MemberDead:
			update.State = peer.MemberDead
		case sinceContact >= SuspectAfter && m.State == peer.MemberAlive:
			update.State = peer.MemberSuspect
		default:
			continue
		}
		changes = t.apply(changes, update, "silent")
	}
	return changes
}

// Version increases whenever the result of Live may have changed, so that callers need not compare results.
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

// Leaving reports whether this instance announced its graceful shutdown.
func (t *Table) Leaving() bool { return t.leaving }

package member_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/member"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/testkit"
)

type fleet struct {
	now    time.Time
	tables []*member.Table
	cut    map[int]bool
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), cut: make(map[int]bool)}
	var list []config.Instance
	for i := range n {
		list = append(list, config.Instance{Name: name(i)})
	}
	for i := range n {
		t := member.New(name(i), 1)
		t.SetInstances(f.now, list)
		f.tables = append(f.tables, t)
	}
	return f
}

func name(i int) string { return fmt.Sprintf("entry-%03d", i) }

// round lets a second pass; a cut instance neither sends nor receives, and lost drops a heartbeat.
func (f *fleet) round(lost func() bool) {
	f.now = f.now.Add(member.HeartbeatInterval)
	for i, t := range f.tables {
		for _, neighbour := range t.Neighbours() {
			var j int
			_, _ = fmt.Sscanf(neighbour.Name, "entry-%d", &j)
			heartbeat := t.Outgoing(name(j), 1, 1)
			if f.cut[i] || f.cut[j] || lost() {
				continue
			}
			f.tables[j].Receive(f.now, heartbeat)
			t.Receive(f.now, f.tables[j].Outgoing(name(i), 1, 1))
		}
	}
	for _, t := range f.tables {
		t.Tick(f.now)
	}
}

func never() bool { return false }

func (f *fleet) rounds(n int, lost func() bool) {
	for range n {
		f.round(lost)
	}
}

// Guards against a dead instance that stays in the live set, and against one that cannot return after a partition,
// in a full mesh and in a ring with neighbours.
func TestDeadAndBack(t *testing.T) {
	for _, size := range []int{3, 8, 16, 40, 120} {
		f := newFleet(size)
		f.rounds(12, never)
		if live := len(f.tables[0].Live()); live != size {
			t.Fatalf("size %d: %d live after start", size, live)
		}
		f.cut[size-1] = true
		f.rounds(20, never)
		for i := range size - 1 {
			for _, instance := range f.tables[i].Live() {
				if instance.Name == name(size-1) {
					t.Fatalf("size %d: instance %d still counts the dead one as live", size, i)
				}
			}
		}
		f.cut[size-1] = false
		f.rounds(25, never)
		for i := range size {
			if live := len(f.tables[i].Live()); live != size {
				t.Fatalf("size %d: instance %d sees %d live after the return", size, i, live)
			}
		}
	}
}

// Guards against live instances that are declared dead while a tenth of the heartbeats is lost.
func TestLossyNetworkKeepsLiveMembers(t *testing.T) {
	testkit.FixRapidSeed()
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 16).Draw(t, "size"))
		f.rounds(3, never)
		f.rounds(30, func() bool { return rapid.IntRange(0, 9).Draw(t, "lost") == 0 })
		for i, table := range f.tables {
			for _, m := range table.Members() {
				if m.State == peer.MemberDead {
					t.Fatalf("instance %d takes %s for dead", i, m.Instance.Name)
				}
			}
		}
	})
}

// Guards against an old incarnation's late heartbeat that hides a restart.
func TestOldIncarnationIsIgnored(t *testing.T) {
	table := member.New("a", 1)
	now := time.Unix(1000, 0)
	table.SetInstances(now, []config.Instance{{Name: "a"}, {Name: "b"}})
	table.Receive(now, peer.Heartbeat{Name: "b", Incarnation: 9, State: peer.MemberAlive, Revision: 5})
	table.Receive(now, peer.Heartbeat{Name: "b", Incarnation: 8, Sequence: 99, State: peer.MemberLeaving, Revision: 4})
	if m := table.Members()[1]; m.Incarnation != 9 || m.State != peer.MemberAlive || m.Revision != 5 {
		t.Fatalf("old heartbeat changed the member: %+v", m)
	}
}

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
	now         time.Time
	tables      []*member.Table
	partitioned map[int]bool
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), partitioned: make(map[int]bool)}
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

// runRound advances the clock by one heartbeat interval. All instances send heartbeats to their neighbours, which reply. A
// partitioned instance neither sends nor receives; lost returns true to drop a heartbeat.
func (f *fleet) runRound(lost func() bool) {
	f.now = f.now.Add(member.HeartbeatInterval)
	for i, t := range f.tables {
		for _, neighbour := range t.Neighbours() {
			var j int
			_, _ = fmt.Sscanf(neighbour.Name, "entry-%d", &j)
			heartbeat := t.HeartbeatTo(name(j), 1, 1)
			if f.partitioned[i] || f.partitioned[j] || lost() {
				continue
			}
			f.tables[j].Receive(f.now, heartbeat)
			t.Receive(f.now, f.tables[j].HeartbeatTo(name(i), 1, 1))
		}
	}
	for _, t := range f.tables {
		t.Tick(f.now)
	}
}

func noLoss() bool { return false }

func (f *fleet) runRounds(n int, lost func() bool) {
	for range n {
		f.runRound(lost)
	}
}

// Guards against an unreachable instance that stays in the live set, and against an instance that does not become live
// again after a partition. Sizes up to 16 use the full mesh, larger ones the ring.
func TestLiveSetAfterPartition(t *testing.T) {
	for _, size := range []int{3, 8, 16, 40, 120} {
		f := newFleet(size)
		f.runRounds(12, noLoss)
		if live := len(f.tables[0].Live()); live != size {
			t.Fatalf("size %d: %d live after start", size, live)
		}
		f.partitioned[size-1] = true
		f.runRounds(20, noLoss)
		for i := range size - 1 {
			for _, instance := range f.tables[i].Live() {
				if instance.Name == name(size-1) {
					t.Fatalf("size %d: instance %d still considers the partitioned one live", size, i)
				}
			}
		}
		f.partitioned[size-1] = false
		f.runRounds(25, noLoss)
		for i := range size {
			if live := len(f.tables[i].Live()); live != size {
				t.Fatalf("size %d: instance %d sees %d live after the partition", size, i, live)
			}
		}
	}
}

// Guards against live instances that are declared dead while a tenth of the heartbeats are lost.
func TestLossyNetworkKeepsLiveMembers(t *testing.T) {
	testkit.FixRapidSeed()
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 16).Draw(t, "size"))
		f.runRounds(3, noLoss)
		f.runRounds(30, func() bool { return rapid.IntRange(0, 9).Draw(t, "lost") == 0 })
		for i, table := range f.tables {
			for _, m := range table.Members() {
				if m.State == peer.MemberDead {
					t.Fatalf("instance %d considers %s dead", i, m.Instance.Name)
				}
			}
		}
	})
}

// Guards against a delayed heartbeat of an earlier incarnation that overwrites the state of the restarted instance.
func TestHeartbeatOfOldIncarnationIsIgnored(t *testing.T) {
	table := member.New("a", 1)
	now := time.Unix(1000, 0)
	table.SetInstances(now, []config.Instance{{Name: "a"}, {Name: "b"}})
	table.Receive(now, peer.Heartbeat{Name: "b", Incarnation: 9, State: peer.MemberAlive, Revision: 5})
	table.Receive(now, peer.Heartbeat{Name: "b", Incarnation: 8, Sequence: 99, State: peer.MemberLeaving, Revision: 4})
	if m := table.Members()[1]; m.Incarnation != 9 || m.State != peer.MemberAlive || m.Revision != 5 {
		t.Fatalf("old heartbeat changed the member: %+v", m)
	}
}

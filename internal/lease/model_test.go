package lease_test

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/idem"
	"github.com/acacialift/acacialift/internal/lease"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/testkit"
)

const (
	tick = 50 * time.Millisecond
	// The rates of two clocks differ by at most 1.024 / 0.976 = 1.0492.
	slowestRate, fastestRate = 0.976, 1.024
	maxWallOffsetMS          = 2500
	wallZeroMS               = 1_700_000_000_000
	// With fewer nodes than allClaimLimit, every process that starts claims the resources. Otherwise, every third node does
	// not claim them.
	allClaimLimit = 4
	steps         = 200
)

var (
	endpointResource = lease.EndpointResource("e0")
	slotResource     = lease.KeyResource("desk", 7)
	resources        = []string{endpointResource, slotResource}
)

// node is one instance with its own clocks and its own versions of the instance list and the configuration.
type node struct {
	instance     config.Instance
	rate         float64
	wallOffsetMS int64
	// process identifies the current process by instance name and incarnation.
	process       string
	voter         *lease.Voter
	holder        *lease.Holder
	registry      *idem.Registry
	paused        bool
	listIndex     int
	revisionIndex int
}

type message struct {
	dueAt    time.Duration
	from, to *node
	claim    *peer.Claim
	promise  *peer.Promise
}

// resourceUse records how one incarnation used a resource.
type resourceUse struct {
	lastGrantAt time.Duration
	// labels holds the label interval of each lease by its AcquiredAt.
	labels map[time.Time][2]int64
}

// simulation is a simulated fleet. All its times are true time, which the clocks of the nodes only approximate.
type simulation struct {
	rt *rapid.T
	// keys holds the keys that callers send; accepted holds, by key, the process that granted it.
	keys        []*peer.KeyClaim
	accepted    map[string]string
	rng         *rand.Rand
	now         time.Duration
	nodes       []*node
	lists       []*config.InstanceList
	publishedAt []time.Duration
	indexes     []*config.Index
	inTransit   []message
	badNetwork  bool
	// singleLateChange allows only one list change, which may reach the nodes at any later time. Otherwise, each list
	// reaches all running nodes within lease.ListLagBound.
	singleLateChange bool
	lastIncarnation  int64
	uses             map[string]map[string]*resourceUse
	takeovers        map[string]int
	lastOwner        map[string]string
}

func newSimulation(rt *rapid.T) *simulation {
	s := &simulation{
		rt:               rt,
		rng:              rand.New(rand.NewSource(rapid.Int64().Draw(rt, "noise"))),
		singleLateChange: rapid.Bool().Draw(rt, "single late change"),
		accepted:         map[string]string{},
		uses:             map[string]map[string]*resourceUse{endpointResource: {}, slotResource: {}},
		takeovers:        map[string]int{},
		lastOwner:        map[string]string{},
	}
	// In a region with one instance, only the lag bound protects against two holders after a list change.
	smallest := 1
	if s.singleLateChange {
		smallest = 2
	}
	size := rapid.IntRange(smallest, 9).Draw(rt, "size")
	s.indexes = append(s.indexes, newIndex(1))
	list := &config.InstanceList{Revision: 1}
	for range size {
		list.Instances = append(list.Instances, s.addNode(len(s.nodes)%3).instance)
	}
	s.publishList(list)
	for _, n := range s.nodes {
		s.startProcess(n)
	}
	return s
}

func newIndex(revision uint64) *config.Index {
	return config.NewIndex(&config.Document{
		Revision:  revision,
		Domains:   []config.Domain{{Name: "d0", Region: "r"}, {Name: "d1", Region: "r"}, {Name: "d2", Region: "r"}},
		Services:  []config.Service{{Name: "desk", Kind: config.KindPlain, Region: "r"}},
		Endpoints: []config.Endpoint{{Name: "e0", Service: "desk", Domain: "d0"}},
	})
}

func (s *simulation) addNode(domain int) *node {
	n := &node{
		instance:     config.Instance{Name: fmt.Sprintf("n%d", len(s.nodes)), Domain: fmt.Sprintf("d%d", domain), Region: "r"},
		rate:         slowestRate + s.rng.Float64()*(fastestRate-slowestRate),
		wallOffsetMS: s.rng.Int63n(2*maxWallOffsetMS+1) - maxWallOffsetMS,
	}
	s.nodes = append(s.nodes, n)
	return n
}

func (s *simulation) publishList(list *config.InstanceList) {
	s.lists = append(s.lists, list)
	s.publishedAt = append(s.publishedAt, s.now)
}

func (s *simulation) mono(n *node) time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(s.now) * n.rate))
}

func (s *simulation) wall(n *node) int64 { return wallZeroMS + s.now.Milliseconds() + n.wallOffsetMS }

// startProcess starts a new process of the instance, with empty memory, the latest list and the latest configuration.
func (s *simulation) startProcess(n *node) {
	s.lastIncarnation++
	n.process = fmt.Sprintf("%s/%d", n.instance.Name, s.lastIncarnation)
	n.paused = false
	n.voter = lease.NewVoter(n.instance.Name)
	n.holder = lease.NewHolder(n.instance.Name, s.lastIncarnation)
	n.registry = idem.NewRegistry(idem.Options{MaxKeys: 1000})
	n.listIndex, n.revisionIndex = len(s.lists)-1, len(s.indexes)-1
	s.applyView(n)
	if slices.Index(s.nodes, n)%3 != 2 || len(s.nodes) < allClaimLimit {
		for _, resource := range resources {
			n.holder.Want(s.mono(n), resource)
		}
	}
}

func (s *simulation) applyView(n *node) {
	n.voter.SetView(s.mono(n), s.wall(n), s.indexes[n.revisionIndex], s.lists[n.listIndex])
	n.holder.SetView(s.mono(n), s.indexes[n.revisionIndex], s.lists[n.listIndex])
}

func (s *simulation) send(m message) {
	copies, delay := 1, time.Duration(s.rng.Int63n(int64(5*time.Millisecond)))
	if s.badNetwork {
		copies = []int{0, 1, 1, 1, 2}[s.rng.Intn(5)]
	}
	for range copies {
		if s.badNetwork && s.rng.Intn(3) == 0 {
			delay = time.Duration(s.rng.Int63n(int64(3 * time.Second)))
		}
		m.dueAt = s.now + delay
		s.inTransit = append(s.inTransit, m)
	}
}

func (s *simulation) deliver() {
	slices.SortStableFunc(s.inTransit, func(a, b message) int { return int(a.dueAt - b.dueAt) })
	kept := s.inTransit[:0:0]
	wire := s.inTransit
	s.inTransit = nil
	for _, m := range wire {
		if m.dueAt > s.now || m.to.paused {
			kept = append(kept, m)
			continue
		}
		s.receive(m)
	}
	s.inTransit = append(s.inTransit, kept...)
}

func (s *simulation) receive(m message) {
	now, wall := s.mono(m.to), s.wall(m.to)
	if m.claim != nil {
		promise := m.to.voter.Answer(now, wall, m.claim)
		s.send(message{from: m.to, to: m.from, promise: promise})
		return
	}
	m.to.holder.HandlePromise(now, wall, m.from.instance.Name, m.promise)
}

// advance runs the simulation and checks the properties at each tick.
func (s *simulation) advance(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += tick
		s.distribute()
		s.check()
		s.deliver()
		for _, n := range s.running() {
			for _, out := range n.holder.Claims(s.mono(n), s.wall(n)) {
				s.send(message{from: n, to: s.nodeNamed(out.Voter), claim: out.Claim})
			}
		}
		s.check()
		s.claimKeys()
	}
}

// claimKeys sends a new or an earlier key to each running instance, and checks that at most one process accepts it.
func (s *simulation) claimKeys() {
	if len(s.keys) == 0 || s.rng.Intn(4) == 0 {
		label := s.wall(s.nodes[0]) + s.rng.Int63n(8000) - 4000
		s.keys = append(s.keys, &peer.KeyClaim{Service: "desk", Key: keyWithLabel(label), LabelMS: label})
	}
	key := s.keys[max(0, len(s.keys)-1-s.rng.Intn(60))]
	for _, n := range s.running() {
		held, holds := n.holder.Holds(s.mono(n), slotResource)
		bounds := idem.Interval{Start: held.LabelStart, End: held.LabelEnd}
		reply := n.registry.Claim(s.mono(n), s.wall(n), idem.Gateway{Name: "g"}, key, bounds, holds)
		if reply.Verdict != peer.KeyGranted {
			continue
		}
		if other := s.accepted[key.Key]; other != "" && other != n.process {
			s.rt.Fatalf("%v: %s and %s both accepted the label %d", s.now, other, n.process, key.LabelMS)
		}
		s.accepted[key.Key] = n.process
	}
}

// keyWithLabel returns a UUID of version 7 with the given time.
func keyWithLabel(labelMS int64) string {
	id := uuid.UUID{6: 0x70, 8: 0x80}
	for i := range 6 {
		id[i] = byte(labelMS >> (8 * (5 - i)))
	}
	return id.String()
}

func (s *simulation) running() []*node {
	return slices.DeleteFunc(slices.Clone(s.nodes), func(n *node) bool { return n.paused })
}

func (s *simulation) nodeNamed(name string) *node {
	return s.nodes[slices.IndexFunc(s.nodes, func(n *node) bool { return n.instance.Name == name })]
}

// distribute delivers each list to the running instances within the lag bound, and each revision after a random time.
func (s *simulation) distribute() {
	for _, n := range s.running() {
		if n.revisionIndex < len(s.indexes)-1 && s.rng.Intn(40) == 0 {
			n.revisionIndex++
		}
		if !s.singleLateChange && n.listIndex < len(s.lists)-1 && s.now-s.publishedAt[n.listIndex+1] >= lease.ListLagBound-tick {
			n.listIndex = len(s.lists) - 1
		}
		s.applyView(n)
	}
}

// check verifies that at most one running instance holds each resource, and that what the holder may do now does not
// conflict with what earlier holders could do.
func (s *simulation) check() {
	for _, resource := range resources {
		owner := ""
		for _, n := range s.running() {
			held, ok := n.holder.Holds(s.mono(n), resource)
			if !ok {
				continue
			}
			if owner != "" {
				s.rt.Fatalf("%v: %s and %s both hold %s", s.now, owner, n.process, resource)
			}
			owner = n.process
			s.checkUse(resource, n, held)
		}
		if owner != "" && owner != s.lastOwner[resource] {
			s.takeovers[resource]++
			s.lastOwner[resource] = owner
		}
	}
}

// checkUse records what the holder of a resource may do now. It verifies that credits that earlier owners could grant have
// expired, and that the label interval overlaps none of another process.
func (s *simulation) checkUse(resource string, n *node, held lease.Lease) {
	use := s.uses[resource][n.process]
	if use == nil {
		use = &resourceUse{lastGrantAt: -time.Hour, labels: map[time.Time][2]int64{}}
		s.uses[resource][n.process] = use
	}
	mayGrant := held.MayGrant(s.mono(n))
	if mayGrant {
		use.lastGrantAt = s.now
	}
	if held.LabelEnd > held.LabelStart {
		use.labels[held.AcquiredAt] = [2]int64{held.LabelStart, held.LabelEnd}
	}
	credit := float64(lease.CreditLength)
	creditOnSlowestClock := time.Duration(credit / slowestRate)
	for other, otherUse := range s.uses[resource] {
		if other == n.process {
			continue
		}
		if mayGrant && s.now-otherUse.lastGrantAt < creditOnSlowestClock {
			s.rt.Fatalf("%v: %s may grant credits %v after %s could", s.now, n.process, s.now-otherUse.lastGrantAt, other)
		}
		for _, a := range otherUse.labels {
			if held.LabelStart < held.LabelEnd && held.LabelStart < a[1] && a[0] < held.LabelEnd {
				s.rt.Fatalf("%v: %s may accept labels [%d, %d), %s could accept %v",
					s.now, n.process, held.LabelStart, held.LabelEnd, other, a)
			}
		}
	}
}

// changeList publishes a list in which one instance is added, removed, or replaced by another of the same domain.
func (s *simulation) changeList() {
	if s.singleLateChange && len(s.lists) > 1 {
		return
	}
	latest := s.lists[len(s.lists)-1]
	next := &config.InstanceList{Revision: latest.Revision + 1, Instances: slices.Clone(latest.Instances)}
	kind := rapid.SampledFrom([]string{"replace", "replace", "add", "remove"}).Draw(s.rt, "kind")
	at := rapid.IntRange(0, len(next.Instances)-1).Draw(s.rt, "at")
	var added *node
	switch {
	case kind == "remove" && len(next.Instances) > 1 && (!s.singleLateChange || len(next.Instances) > 2):
		next.Instances = slices.Delete(next.Instances, at, at+1)
	case kind == "add" && len(next.Instances) < 9:
		added = s.addNode(at % 3)
		next.Instances = append(next.Instances, added.instance)
	default:
		added = s.addNode(int(next.Instances[at].Domain[1] - '0'))
		next.Instances[at] = added.instance
	}
	s.publishList(next)
	if added != nil {
		s.startProcess(added)
	}
}

func (s *simulation) pick(label string) *node {
	return s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(s.rt, label)]
}

// actions returns the random actions by name. Some actions have several names, which makes them more likely. The order of
// the names decides which action a seed draws.
func (s *simulation) actions() map[string]func(*rapid.T) {
	run := func(rt *rapid.T) {
		s.advance(time.Duration(rapid.IntRange(1, 40).Draw(rt, "ticks")) * tick)
	}
	long := func(*rapid.T) { s.advance(4 * time.Second) }
	return map[string]func(*rapid.T){
		"run": run, "run again": run, "run on": run, "run more": run, "run and run": run,
		"run long": long, "run longer": long, "run for long": long,
		"good network": func(*rapid.T) { s.badNetwork = false }, "fair network": func(*rapid.T) { s.badNetwork = false },
		"bad network": func(*rapid.T) { s.badNetwork = true },
		"restart":     func(*rapid.T) { s.startProcess(s.pick("node")) },
		"pause": func(*rapid.T) {
			if len(s.nodes)-len(s.running()) < 2 {
				s.pick("node").paused = true
			}
		},
		"resume": func(*rapid.T) {
			for _, n := range s.nodes {
				n.paused = false
			}
		},
		"drop and want": func(*rapid.T) {
			n := s.pick("node")
			for _, resource := range n.holder.Wanted() {
				n.holder.Drop(resource)
				n.holder.Want(s.mono(n), resource)
			}
		},
		"wall clock": func(rt *rapid.T) {
			s.pick("node").wallOffsetMS = rapid.Int64Range(-maxWallOffsetMS, maxWallOffsetMS).Draw(rt, "offset")
		},
		"list": func(*rapid.T) { s.changeList() },
		"apply list": func(*rapid.T) {
			if n := s.pick("node"); !n.paused {
				n.listIndex = len(s.lists) - 1
				s.applyView(n)
			}
		},
		"revision": func(*rapid.T) {
			s.indexes = append(s.indexes, newIndex(uint64(len(s.indexes)+1)))
		},
	}
}

// Guards against two holders at once, grants while credits of the previous owner are valid, and overlapping label intervals
// of two incarnations, under every fault that the assumptions of docs/leases.md allow.
func TestLeaseModel(t *testing.T) {
	testkit.FixRapidSeed()
	takeovers, accepted := map[string]int{}, 0
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(rt)
		actions := s.actions()
		names := slices.Sorted(maps.Keys(actions))
		for range steps {
			actions[rapid.SampledFrom(names).Draw(rt, "action")](rt)
		}
		for resource, count := range s.takeovers {
			takeovers[resource] += count
		}
		accepted += len(s.accepted)
	})
	t.Logf("takeovers: %v, accepted keys: %d", takeovers, accepted)
	for _, resource := range resources {
		if takeovers[resource] < 100 {
			t.Errorf("only %d takeovers of %s: too few to test the properties", takeovers[resource], resource)
		}
	}
}

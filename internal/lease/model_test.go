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
	slowest, fastest = 0.976, 1.024
	maxWallOffMS     = 2500
	wallZeroMS       = 1_700_000_000_000
	claimants        = 4
	steps            = 200
)

var (
	endpointResource = lease.EndpointResource("e0")
	slotResource     = lease.KeyResource("desk", 7)
	resources        = []string{endpointResource, slotResource}
)

// node is one instance with its own clocks and views.
type node struct {
	in        config.Instance
	rate      float64
	wallOffMS int64
	// self is the name and incarnation.
	self     string
	voter    *lease.Voter
	holder   *lease.Holder
	registry *idem.Registry
	paused   bool
	list     int
	revision int
}

type message struct {
	due      time.Duration
	from, to *node
	claim    *peer.Claim
	promise  *peer.Promise
}

// usage records what one incarnation did with a resource.
type usage struct {
	lastGrant time.Duration
	// labels holds the interval of each uninterrupted lease, by its start.
	labels map[time.Time][2]int64
}

// world is a simulated fleet; t is the true time.
type world struct {
	rt *rapid.T
	// keys holds the keys that callers send, and accepted the incarnation that granted each.
	keys     []*peer.KeyClaim
	accepted map[string]string
	rng      *rand.Rand
	t        time.Duration
	nodes    []*node
	lists    []*config.InstanceList
	since    []time.Duration
	indexes  []*config.Index
	wire     []message
	bad      bool
	// oneSwap allows a single list change that may spread arbitrarily late; otherwise lists spread within the bound.
	oneSwap   bool
	boots     int64
	used      map[string]map[string]*usage
	takeovers map[string]int
	last      map[string]string
}

func newWorld(rt *rapid.T) *world {
	w := &world{
		rt:       rt,
		rng:      rand.New(rand.NewSource(rapid.Int64().Draw(rt, "noise"))),
		oneSwap:  rapid.Bool().Draw(rt, "oneSwap"),
		accepted: map[string]string{},
		used:     map[string]map[string]*usage{endpointResource: {}, slotResource: {}}, takeovers: map[string]int{}, last: map[string]string{},
	}
	// The list change of a region with one instance is protected by the lag bound alone.
	smallest := 1
	if w.oneSwap {
		smallest = 2
	}
	size := rapid.IntRange(smallest, 9).Draw(rt, "size")
	w.indexes = append(w.indexes, newIndex(1))
	list := &config.InstanceList{Revision: 1}
	for range size {
		list.Instances = append(list.Instances, w.addNode(len(w.nodes)%3).in)
	}
	w.publishList(list)
	for _, n := range w.nodes {
		w.boot(n)
	}
	return w
}

func newIndex(revision uint64) *config.Index {
	return config.NewIndex(&config.Document{
		Revision:  revision,
		Domains:   []config.Domain{{Name: "d0", Region: "r"}, {Name: "d1", Region: "r"}, {Name: "d2", Region: "r"}},
		Services:  []config.Service{{Name: "desk", Kind: config.KindPlain, Region: "r"}},
		Endpoints: []config.Endpoint{{Name: "e0", Service: "desk", Domain: "d0"}},
	})
}

func (w *world) addNode(domain int) *node {
	n := &node{
		in:        config.Instance{Name: fmt.Sprintf("n%d", len(w.nodes)), Domain: fmt.Sprintf("d%d", domain), Region: "r"},
		rate:      slowest + w.rng.Float64()*(fastest-slowest),
		wallOffMS: w.rng.Int63n(2*maxWallOffMS+1) - maxWallOffMS,
	}
	w.nodes = append(w.nodes, n)
	return n
}

func (w *world) publishList(list *config.InstanceList) {
	w.lists = append(w.lists, list)
	w.since = append(w.since, w.t)
}

func (w *world) mono(n *node) time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(w.t) * n.rate))
}

func (w *world) wall(n *node) int64 { return wallZeroMS + w.t.Milliseconds() + n.wallOffMS }

// boot starts the instance's process with an empty memory and the newest documents.
func (w *world) boot(n *node) {
	w.boots++
	n.self = fmt.Sprintf("%s/%d", n.in.Name, w.boots)
	n.paused = false
	n.voter = lease.NewVoter(n.in.Name)
	n.holder = lease.NewHolder(n.in.Name, w.boots)
	n.registry = idem.NewRegistry(idem.Options{MaxKeys: 1000})
	n.list, n.revision = len(w.lists)-1, len(w.indexes)-1
	w.applyView(n)
	if slices.Index(w.nodes, n)%3 != 2 || len(w.nodes) < claimants {
		for _, resource := range resources {
			n.holder.Want(w.mono(n), resource)
		}
	}
}

func (w *world) applyView(n *node) {
	n.voter.SetView(w.mono(n), w.wall(n), w.indexes[n.revision], w.lists[n.list])
	n.holder.SetView(w.mono(n), w.indexes[n.revision], w.lists[n.list])
}

func (w *world) send(m message) {
	copies, delay := 1, time.Duration(w.rng.Int63n(int64(5*time.Millisecond)))
	if w.bad {
		copies = []int{0, 1, 1, 1, 2}[w.rng.Intn(5)]
	}
	for range copies {
		if w.bad && w.rng.Intn(3) == 0 {
			delay = time.Duration(w.rng.Int63n(int64(3 * time.Second)))
		}
		m.due = w.t + delay
		w.wire = append(w.wire, m)
	}
}

func (w *world) deliver() {
	slices.SortStableFunc(w.wire, func(a, b message) int { return int(a.due - b.due) })
	kept := w.wire[:0:0]
	wire := w.wire
	w.wire = nil
	for _, m := range wire {
		if m.due > w.t || m.to.paused {
			kept = append(kept, m)
			continue
		}
		w.receive(m)
	}
	w.wire = append(w.wire, kept...)
}

func (w *world) receive(m message) {
	now, wall := w.mono(m.to), w.wall(m.to)
	if m.claim != nil {
		answer := m.to.voter.Answer(now, wall, m.claim)
		w.send(message{from: m.to, to: m.from, promise: answer})
		return
	}
	m.to.holder.HandlePromise(now, wall, m.from.in.Name, m.promise)
}

// advance runs the fleet and checks the properties at each tick.
func (w *world) advance(d time.Duration) {
	for end := w.t + d; w.t < end; {
		w.t += tick
		w.spread()
		w.check()
		w.deliver()
		for _, n := range w.running() {
			for _, out := range n.holder.Claims(w.mono(n), w.wall(n)) {
				w.send(message{from: n, to: w.byName(out.Voter), claim: out.Claim})
			}
		}
		w.check()
		w.claimKeys()
	}
}

// claimKeys sends a new key or a repeat to each running instance and checks that one incarnation accepts it.
func (w *world) claimKeys() {
	if len(w.keys) == 0 || w.rng.Intn(4) == 0 {
		label := w.wall(w.nodes[0]) + w.rng.Int63n(8000) - 4000
		w.keys = append(w.keys, &peer.KeyClaim{Service: "desk", Key: keyText(label), LabelMS: label})
	}
	key := w.keys[max(0, len(w.keys)-1-w.rng.Intn(60))]
	for _, n := range w.running() {
		held, holds := n.holder.Holds(w.mono(n), slotResource)
		bounds := idem.Interval{Start: held.LabelStart, End: held.LabelEnd}
		reply := n.registry.Claim(w.mono(n), w.wall(n), idem.Gateway{Name: "g"}, key, bounds, holds)
		if reply.Verdict != peer.KeyGranted {
			continue
		}
		if other := w.accepted[key.Key]; other != "" && other != n.self {
			w.rt.Fatalf("%v: %s and %s accepted the label %d", w.t, other, n.self, key.LabelMS)
		}
		w.accepted[key.Key] = n.self
	}
}

func keyText(labelMS int64) string {
	id := uuid.UUID{6: 0x70, 8: 0x80}
	for i := range 6 {
		id[i] = byte(labelMS >> (8 * (5 - i)))
	}
	return id.String()
}

func (w *world) running() []*node {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return n.paused })
}

func (w *world) byName(name string) *node {
	return w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.in.Name == name })]
}

// spread makes running instances adopt each list within the lag bound and each revision at some time.
func (w *world) spread() {
	for _, n := range w.running() {
		if n.revision < len(w.indexes)-1 && w.rng.Intn(40) == 0 {
			n.revision++
		}
		if !w.oneSwap && n.list < len(w.lists)-1 && w.t-w.since[n.list+1] >= lease.ListLagBound-tick {
			n.list = len(w.lists) - 1
		}
		w.applyView(n)
	}
}

// check looks at every running instance as if it acted now.
func (w *world) check() {
	for _, resource := range resources {
		owner := ""
		for _, n := range w.running() {
			held, ok := n.holder.Holds(w.mono(n), resource)
			if !ok {
				continue
			}
			if owner != "" {
				w.rt.Fatalf("%v: %s and %s hold %s", w.t, owner, n.self, resource)
			}
			owner = n.self
			w.checkUse(resource, n, held)
		}
		if owner != "" && owner != w.last[resource] {
			w.takeovers[resource]++
			w.last[resource] = owner
		}
	}
}

func (w *world) checkUse(resource string, n *node, held lease.Lease) {
	mine := w.used[resource][n.self]
	if mine == nil {
		mine = &usage{lastGrant: -time.Hour, labels: map[time.Time][2]int64{}}
		w.used[resource][n.self] = mine
	}
	mayGrant := held.MayGrant(w.mono(n))
	if mayGrant {
		mine.lastGrant = w.t
	}
	if held.LabelEnd > held.LabelStart {
		mine.labels[held.AcquiredAt] = [2]int64{held.LabelStart, held.LabelEnd}
	}
	credit := float64(lease.CreditLength)
	creditOnSlowestClock := time.Duration(credit / slowest)
	for other, theirs := range w.used[resource] {
		if other == n.self {
			continue
		}
		if mayGrant && w.t-theirs.lastGrant < creditOnSlowestClock {
			w.rt.Fatalf("%v: %s grants %v after %s", w.t, n.self, w.t-theirs.lastGrant, other)
		}
		for _, a := range theirs.labels {
			if held.LabelStart < held.LabelEnd && held.LabelStart < a[1] && a[0] < held.LabelEnd {
				w.rt.Fatalf("%v: %s has labels [%d, %d), %s had %v", w.t, n.self, held.LabelStart, held.LabelEnd, other, a)
			}
		}
	}
}

// changeList publishes a list with one instance more, one less, or one replaced in its domain.
func (w *world) changeList() {
	if w.oneSwap && len(w.lists) > 1 {
		return
	}
	latest := w.lists[len(w.lists)-1]
	next := &config.InstanceList{Revision: latest.Revision + 1, Instances: slices.Clone(latest.Instances)}
	kind := rapid.SampledFrom([]string{"replace", "replace", "add", "remove"}).Draw(w.rt, "kind")
	at := rapid.IntRange(0, len(next.Instances)-1).Draw(w.rt, "at")
	var fresh *node
	switch {
	case kind == "remove" && len(next.Instances) > 1 && (!w.oneSwap || len(next.Instances) > 2):
		next.Instances = slices.Delete(next.Instances, at, at+1)
	case kind == "add" && len(next.Instances) < 9:
		fresh = w.addNode(at % 3)
		next.Instances = append(next.Instances, fresh.in)
	default:
		fresh = w.addNode(int(next.Instances[at].Domain[1] - '0'))
		next.Instances[at] = fresh.in
	}
	w.publishList(next)
	if fresh != nil {
		w.boot(fresh)
	}
}

func (w *world) pick(label string) *node {
	return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(w.rt, label)]
}

func (w *world) actions() map[string]func(*rapid.T) {
	run := func(rt *rapid.T) {
		w.advance(time.Duration(rapid.IntRange(1, 40).Draw(rt, "ticks")) * tick)
	}
	long := func(*rapid.T) { w.advance(4 * time.Second) }
	return map[string]func(*rapid.T){
		"run": run, "run again": run, "run on": run, "run more": run, "run and run": run,
		"run long": long, "run longer": long, "run for long": long,
		"good network": func(*rapid.T) { w.bad = false }, "fair network": func(*rapid.T) { w.bad = false },
		"bad network": func(*rapid.T) { w.bad = true },
		"restart":     func(*rapid.T) { w.boot(w.pick("node")) },
		"pause": func(*rapid.T) {
			if len(w.nodes)-len(w.running()) < 2 {
				w.pick("node").paused = true
			}
		},
		"resume": func(*rapid.T) {
			for _, n := range w.nodes {
				n.paused = false
			}
		},
		"drop and want": func(*rapid.T) {
			n := w.pick("node")
			for _, resource := range n.holder.Wanted() {
				n.holder.Drop(resource)
				n.holder.Want(w.mono(n), resource)
			}
		},
		"wall clock": func(rt *rapid.T) {
			w.pick("node").wallOffMS = rapid.Int64Range(-maxWallOffMS, maxWallOffMS).Draw(rt, "offset")
		},
		"list": func(*rapid.T) { w.changeList() },
		"adopt list": func(*rapid.T) {
			if n := w.pick("node"); !n.paused {
				n.list = len(w.lists) - 1
				w.applyView(n)
			}
		},
		"revision": func(*rapid.T) {
			w.indexes = append(w.indexes, newIndex(uint64(len(w.indexes)+1)))
		},
	}
}

// Guards against two holders at once, grants while credits of the previous owner are valid, and label intervals of two
// incarnations that overlap, under every fault that the assumptions of docs/leases.md allow.
func TestLeaseModel(t *testing.T) {
	testkit.FixRapidSeed()
	takeovers, accepted := map[string]int{}, 0
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		actions := w.actions()
		names := slices.Sorted(maps.Keys(actions))
		for range steps {
			actions[rapid.SampledFrom(names).Draw(rt, "action")](rt)
		}
		for resource, count := range w.takeovers {
			takeovers[resource] += count
		}
		accepted += len(w.accepted)
	})
	t.Logf("takeovers: %v, accepted keys: %d", takeovers, accepted)
	for _, resource := range resources {
		if takeovers[resource] < 100 {
			t.Errorf("only %d takeovers of %s: the property was hardly exercised", takeovers[resource], resource)
		}
	}
}

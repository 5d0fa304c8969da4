package controller

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/testkit"
)

func TestController(t *testing.T) { testkit.RunSpecs(t, "controller") }

var start = time.Unix(1_800_000_000, 0)

var _ = Describe("Summaries", func() {
	// Guards against an owner that a receiver misses, or keeps, because the deltas do not add up to what is held.
	It("leave a receiver with exactly the resources that are held", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			o, b := newOutbox(nearRefresh, true), newBoard(1)
			now, current := start, &peer.Summary{}
			for range rapid.IntRange(1, 30).Draw(t, "rounds") {
				now = now.Add(time.Duration(rapid.IntRange(1, 4).Draw(t, "seconds")) * time.Second)
				current = drawSummary(t)
				if delta := o.delta(now, current); delta != nil {
					b.put(now, delta)
				}
				b.expire(now, nil)
			}
			held := make(map[string]bool)
			for _, e := range current.Endpoints {
				held["endpoint/"+e.Endpoint] = true
				if shown := b.endpoints[e.Endpoint].shown; shown.State != e.State || (shown.FreeStreams > 0) != (e.FreeStreams > 0) {
					t.Fatalf("receiver has %+v, owner %+v", shown, e)
				}
			}
			for _, slot := range current.KeySlots {
				held[slot] = true
			}
			for resource, owner := range b.owners {
				if owner.hidden == held[resource] {
					t.Fatalf("%s hidden %t, held %t", resource, owner.hidden, held[resource])
				}
				delete(held, resource)
			}
			if len(held) > 0 {
				t.Fatalf("receiver misses %v", held)
			}
		})
	})

	// Guards against traffic that does not shrink when nothing changes.
	It("are silent between refreshes while nothing changes", func() {
		o := newOutbox(nearRefresh, true)
		current := &peer.Summary{Endpoints: []peer.EndpointSummary{{Endpoint: "a", FreeStreams: 16, FreeTokens: 1000}}}
		Expect(o.delta(start, current)).NotTo(BeNil())
		current.Endpoints[0].AgeMS = 900
		current.Endpoints[0].FreeStreams = 15
		Expect(o.delta(start.Add(time.Second), current)).To(BeNil())
		Expect(o.delta(start.Add(nearRefresh), current)).NotTo(BeNil())
	})
})

var _ = Describe("Board", func() {
	// Guards against a gateway that keeps an owner, or lacks one, that its controller knows better.
	It("brings a gateway to the board's owners by changes alone", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b, now := newBoard(1), start
			live := map[string]bool{"x": true, "y": true}
			gateway, asked := make(map[string]string), uint64(0)
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				now = now.Add(time.Second)
				owner := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "owner")
				switch rapid.IntRange(0, 4).Draw(t, "step") {
				case 0:
					s := drawSummary(t)
					s.Owner = owner
					b.put(now, s)
				case 1:
					b.put(now, &peer.Summary{Owner: owner, Gone: []string{"endpoint/a", "keys/desk/0"}})
				case 2:
					live = map[string]bool{owner: true}
				case 3:
					b.restart()
				case 4:
					asked = apply(b, asked, gateway)
				}
				b.expire(now, live)
			}
			apply(b, asked, gateway)
			for resource, owner := range b.owners {
				if address := gateway[resource]; (address != "") == owner.hidden || (!owner.hidden && address != owner.instance) {
					t.Fatalf("%s: gateway has %q, board %+v", resource, address, owner)
				}
			}
		})
	})

	// Guards against a gateway that continues from a version of an earlier run of its controller.
	It("sends a full view to a gateway with a version of another run", func() {
		before, after := newBoard(1000), newBoard(2000)
		before.put(start, &peer.Summary{Owner: "x", KeySlots: []string{"keys/desk/0"}})
		for _, pair := range [][2]*board{{before, after}, {after, before}} {
			var view peer.View
			pair[1].changes(pair[0].version, &view, func(string) string { return "address" })
			Expect(view.Full).To(BeTrue())
		}
	})
})

// apply does what a gateway does with a view; the address of an instance is its name.
func apply(b *board, asked uint64, gateway map[string]string) uint64 {
	var view peer.View
	b.changes(asked, &view, func(instance string) string { return instance })
	if view.Full {
		clear(gateway)
	}
	for _, owner := range view.Owners {
		gateway[owner.Resource] = owner.Address
	}
	return view.Version
}

func drawSummary(t *rapid.T) *peer.Summary {
	s := &peer.Summary{}
	for _, name := range []string{"a", "b", "c"} {
		if rapid.Bool().Draw(t, "held "+name) {
			s.Endpoints = append(s.Endpoints, peer.EndpointSummary{
				Endpoint: name, FreeStreams: rapid.IntRange(0, 64).Draw(t, "streams"),
				State: rapid.SampledFrom([]peer.EndpointState{peer.EndpointCold, peer.EndpointWarm}).Draw(t, "state"),
			})
		}
	}
	for _, slot := range []string{"keys/desk/0", "keys/desk/1"} {
		if rapid.Bool().Draw(t, "held "+slot) {
			s.KeySlots = append(s.KeySlots, slot)
		}
	}
	return s
}

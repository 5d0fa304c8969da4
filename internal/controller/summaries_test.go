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
	// Guards against a receiver that lacks an owner, or keeps a former one, because the deltas do not add up to the resources
	// that the owner holds.
	It("leave a receiver with exactly the resources that are held", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			sender, b := newDeltaTracker(sameRegionRefresh, true), newBoard(1)
			now, current := start, &peer.Summary{}
			for range rapid.IntRange(1, 30).Draw(t, "rounds") {
				now = now.Add(time.Duration(rapid.IntRange(1, 4).Draw(t, "seconds")) * time.Second)
				current = drawSummary(t)
				if delta := sender.delta(now, current); delta != nil {
					b.apply(now, delta)
				}
				b.expire(now, nil)
			}
			held := make(map[string]bool)
			for _, e := range current.Endpoints {
				held["endpoint/"+e.Endpoint] = true
				if got := b.endpoints[e.Endpoint].viewSummary; got.State != e.State || (got.FreeStreams > 0) != (e.FreeStreams > 0) {
					t.Fatalf("receiver has %+v, owner %+v", got, e)
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
				t.Fatalf("receiver lacks %v", held)
			}
		})
	})

	// Guards against traffic that stays high although nothing that matters to gateways changes.
	It("are sent only at refreshes while nothing relevant changes", func() {
		sender := newDeltaTracker(sameRegionRefresh, true)
		current := &peer.Summary{Endpoints: []peer.EndpointSummary{{Endpoint: "a", FreeStreams: 16, FreeTokens: 1000}}}
		Expect(sender.delta(start, current)).NotTo(BeNil())
		current.Endpoints[0].AgeMS = 900
		current.Endpoints[0].FreeStreams = 15
		Expect(sender.delta(start.Add(time.Second), current)).To(BeNil())
		Expect(sender.delta(start.Add(sameRegionRefresh), current)).NotTo(BeNil())
	})
})

var _ = Describe("Board", func() {
	// Guards against a gateway whose owners differ from its controller's board because the changes it received were
	// incomplete.
	It("keeps a gateway's owners equal to the board's by sending changes", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b, now := newBoard(1), start
			live := map[string]bool{"x": true, "y": true}
			gateway, version := make(map[string]string), uint64(0)
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				now = now.Add(time.Second)
				owner := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "owner")
				switch rapid.IntRange(0, 4).Draw(t, "step") {
				case 0:
					s := drawSummary(t)
					s.Owner = owner
					b.apply(now, s)
				case 1:
					b.apply(now, &peer.Summary{Owner: owner, Gone: []string{"endpoint/a", "keys/desk/0"}})
				case 2:
					live = map[string]bool{owner: true}
				case 3:
					b.restart()
				case 4:
					version = applyView(b, version, gateway)
				}
				b.expire(now, live)
			}
			applyView(b, version, gateway)
			for resource, owner := range b.owners {
				if address := gateway[resource]; (address != "") == owner.hidden || (!owner.hidden && address != owner.instance) {
					t.Fatalf("%s: gateway has %q, board %+v", resource, address, owner)
				}
			}
		})
	})

	// Guards against a gateway that gets only changes since a version of an earlier run of its controller.
	It("sends a full view to a gateway with a version of another run", func() {
		before, after := newBoard(1000), newBoard(2000)
		before.apply(start, &peer.Summary{Owner: "x", KeySlots: []string{"keys/desk/0"}})
		for _, pair := range [][2]*board{{before, after}, {after, before}} {
			var view peer.View
			pair[1].addChanges(pair[0].version, &view, func(string) string { return "address" })
			Expect(view.Full).To(BeTrue())
		}
	})
})

// applyView applies a view as a gateway does and returns its version. The address of an instance is its name.
func applyView(b *board, since uint64, gateway map[string]string) uint64 {
	var view peer.View
	b.addChanges(since, &view, func(instance string) string { return instance })
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

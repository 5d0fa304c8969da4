package placement_test

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/placement"
)

// plainLoad is a load on plain endpoints in steps of the mean time that a slot is used for.
type plainLoad struct {
	endpoints, slots int
	// perStep holds the requests of each rank that arrive per step, relative to all slots.
	perStep []float64
	// counted is true if ranks count.
	counted bool
}

// served plays the load with arrivals in random order and returns the fraction of each rank's requests that is placed. An endpoint serves
// requests in the order of their arrival.
func (l plainLoad) served() []float64 {
	random := rand.New(rand.NewPCG(7, 7))
	candidates := idleCandidates(l.endpoints)
	for i := range candidates {
		candidates[i].Endpoint.Slots = l.slots
	}
	arrived, placed := make([]float64, len(l.perStep)), make([]float64, len(l.perStep))
	// A substep ends one request of each busy slot with a probability of 1/substeps.
	const substeps, steps = 50, 200
	for range steps * substeps {
		for i := range candidates {
			for range min(candidates[i].Streams, l.slots) {
				if random.IntN(substeps) == 0 {
					candidates[i].Streams--
				}
			}
		}
		for _, rank := range random.Perm(len(l.perStep)) {
			for range l.endpoints * l.slots {
				if random.Float64() >= l.perStep[rank]/substeps {
					continue
				}
				arrived[rank]++
				var plainRank placement.PlainRank
				if l.counted {
					plainRank = placement.PlainRank{Rank: rank, Ranks: len(l.perStep)}
				}
				if choice, refusal := planner().PlacePlain(candidates, "d0", plainRank); refusal == nil {
					candidates[indexOf(candidates, choice.Primary)].Streams++
					placed[rank]++
				}
			}
		}
	}
	for rank := range placed {
		placed[rank] /= arrived[rank]
	}
	GinkgoWriter.Println(l.perStep, l.counted, placed)
	return placed
}

var _ = Describe("the ranks on a plain service", func() {
	// Guards against urgent requests that are refused as often as others when slots are short.
	DescribeTable("let higher ranks go first under shortage", func(perStep ...float64) {
		served := plainLoad{endpoints: 6, slots: 6, perStep: perStep, counted: true}.served()
		for rank := 1; rank < len(served); rank++ {
			Expect(served[rank-1]).To(BeNumerically(">=", served[rank]-0.05), "served by rank %v", served)
		}
		Expect(served[0]).To(BeNumerically(">=", 0.98), "served by rank %v", served)
	},
		Entry("two ranks, 1.5 times the slots", 0.5, 1.0),
		Entry("two ranks, twice the slots", 0.8, 1.2),
		Entry("four ranks, 1.6 times the slots", 0.4, 0.4, 0.4, 0.4),
	)

	// Guards against ranks that take effect where the settings do not ask for them.
	It("change nothing where they do not count", func() {
		served := plainLoad{endpoints: 6, slots: 6, perStep: []float64{0.75, 0.75}}.served()
		Expect(served[0]).To(BeNumerically("~", served[1], 0.03))
	})

	// Guards against slots that stay free while requests of a low rank are refused, and against one that is never served.
	DescribeTable("leave all slots to each rank", func(slots int) {
		for rank := range 10 {
			candidates := idleCandidates(1)
			candidates[0].Endpoint.Slots, candidates[0].Streams = slots, slots-1
			_, refusal := planner().PlacePlain(candidates, "d0", placement.PlainRank{Rank: rank, Ranks: 10})
			Expect(refusal).To(BeNil(), "rank %d", rank)
		}
	}, Entry("one slot", 1), Entry("two slots", 2), Entry("many slots", 16))

	// Guards against a higher rank that is not preferred at endpoints with few slots.
	It("keep a queue place even of a single slot", func() {
		candidates := idleCandidates(1)
		candidates[0].Endpoint.Slots, candidates[0].Streams = 1, 1
		_, refusal := planner().PlacePlain(candidates, "d0", placement.PlainRank{Rank: 1, Ranks: 2})
		Expect(refusal.Reason).To(Equal(placement.SlotsFull))
		_, refusal = planner().PlacePlain(candidates, "d0", placement.PlainRank{Rank: 0, Ranks: 2})
		Expect(refusal).To(BeNil())
	})

	// Guards against services with a single rank that lose queue places.
	It("keep nothing where all requests are equally urgent", func() {
		candidates := idleCandidates(1)
		candidates[0].Endpoint.Slots, candidates[0].Streams = 4, 7
		_, refusal := planner().PlacePlain(candidates, "d0", placement.PlainRank{Ranks: 1})
		Expect(refusal).To(BeNil())
	})
})

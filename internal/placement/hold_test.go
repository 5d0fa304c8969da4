package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/placement"
)

// hugeNeed is a prompt that needs the memory of two standard engines.
var hugeNeed = placement.Need{
	Tokens: 600_000, Output: 650, Objective: 15 * time.Second, MaxGap: time.Second, Queued: true, ExactCounts: true,
}

var _ = Describe("held endpoints", func() {
	// Guards against long prompts that take the endpoints for which a larger prompt waits, as primary, helper or holder of a
	// reservation.
	It("get no part of a long prompt", func() {
		for _, need := range []placement.Need{middleNeed, longNeed, hugeNeed} {
			candidates := idleCandidates(20)
			for i := 8; i < 20; i++ {
				candidates[i].Held = true
			}
			choice, refusal := planner().PlaceModel(&standardEngine, candidates, need)
			Expect(refusal).To(BeNil())
			Expect(indexOf(candidates, choice.Primary)).To(BeNumerically("<", 8))
			for _, helper := range choice.Helpers {
				Expect(indexOf(candidates, helper)).To(BeNumerically("<", 8))
			}
			for _, r := range choice.Reservations {
				Expect(indexOf(candidates, r.Endpoint)).To(BeNumerically("<", 8))
			}
		}
	})

	// Guards against short prompts that are refused although held endpoints could serve them, and against short streams on held
	// endpoints while others are free: their max gap prevents the prefill for which the endpoint is held.
	It("serve short prompts if no other endpoint can", func() {
		candidates := idleCandidates(4)
		for i := range 3 {
			candidates[i].Held = true
		}
		choice, refusal := planner().PlaceModel(&standardEngine, candidates, shortNeed)
		Expect(refusal).To(BeNil())
		Expect(indexOf(candidates, choice.Primary)).To(Equal(3))
		candidates[3].Entry = load.Entry{Streams: standardEngine.Slots, MaxGap: shortNeed.MaxGap}
		choice, refusal = planner().PlaceModel(&standardEngine, candidates, shortNeed)
		Expect(refusal).To(BeNil())
		Expect(indexOf(candidates, choice.Primary)).To(BeNumerically("<", 3))
	})
})

var _ = Describe("the endpoints to hold", func() {
	// Guards against holds that cost more endpoints than the prompt needs, or endpoints that become free late.
	It("are those that become free soonest, as few as suffice", func() {
		candidates := idleCandidates(20)
		for i := range candidates {
			candidates[i].Entry = load.Entry{
				Streams: 1, UsedTokens: 300_000, PrefillBacklog: time.Duration(20-i) * 100 * time.Millisecond, MaxGap: time.Second,
			}
		}
		need := hugeNeed
		need.Objective = time.Minute
		endpoints := placement.EndpointsToHold(&standardEngine, candidates, need, 10)
		Expect(endpoints).To(HaveLen(2), "two endpoints have the memory")
		Expect(indexOf(candidates, endpoints[0])).To(Equal(19))
		Expect(indexOf(candidates, endpoints[1])).To(Equal(18))
		// The prefill takes 33 s on one endpoint.
		need.Objective = 15 * time.Second
		Expect(len(placement.EndpointsToHold(&standardEngine, candidates, need, 10))).To(BeNumerically(">=", 5))
	})

	// Guards against holds that cannot help, and against holds of endpoints of others.
	It("are none if too few may be held, or if the prompt fits on one endpoint", func() {
		candidates := idleCandidates(20)
		Expect(placement.EndpointsToHold(&standardEngine, candidates, hugeNeed, 1)).To(BeEmpty())
		Expect(placement.EndpointsToHold(&standardEngine, candidates, longNeed, 10)).To(BeEmpty())
		Expect(placement.EndpointsToHold(&standardEngine, candidates, shortNeed, 10)).To(BeEmpty())
		for i := range candidates {
			candidates[i].Held = true
		}
		Expect(placement.EndpointsToHold(&standardEngine, candidates, hugeNeed, 10)).To(BeEmpty())
	})
})

var _ = Describe("a prompt of a wait queue", func() {
	// Guards against endpoints that count as busy because another helper of an earlier prompt is slow: prompts that need many
	// endpoints at once were refused although the endpoints were idle.
	It("may use endpoints whose prefills are probably done", func() {
		candidates := idleCandidates(20)
		for i := range candidates {
			candidates[i].Entry = load.Entry{PrefillBacklog: 500 * time.Millisecond, PrefillDueIn: 700 * time.Millisecond}
		}
		need := hugeNeed
		need.Queued = false
		need.Objective = 4 * time.Second
		_, refusal := planner().PlaceModel(&standardEngine, candidates, need)
		Expect(refusal).NotTo(BeNil())
		need.Queued = true
		choice, refusal := planner().PlaceModel(&standardEngine, candidates, need)
		Expect(refusal).To(BeNil())
		Expect(choice.Predicted).To(BeNumerically("<", 4*time.Second))
	})
})

package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/placement"
)

var _ = Describe("slow endpoints", func() {
	// Guards against short prompts on a slow endpoint while another one would have them on time.
	It("get short prompts only if no other endpoint is earlier", func() {
		candidates := idleCandidates(4)
		candidates[0].Slowdown = 4
		for range 30 {
			choice, refusal := planner().PlaceModel(&standardEngine, candidates, shortNeed)
			Expect(refusal).To(BeNil())
			Expect(indexOf(candidates, choice.Primary)).NotTo(Equal(0))
		}
	})

	// Guards against a refusal although a slow endpoint would be on time, and against a slow one that would not be.
	DescribeTable("get a prompt that would be refused, if they are on time",
		func(need placement.Need, slowdown float64, placed bool) {
			candidates := idleCandidates(3)
			for i := range candidates {
				candidates[i].Slowdown = slowdown
			}
			_, refusal := planner().PlaceModel(&standardEngine, candidates, need)
			Expect(refusal == nil).To(Equal(placed))
		},
		Entry("short, on time", shortNeed, 2.0, true),
		Entry("short, late", shortNeed, 8.0, false),
		Entry("middle, on time", middleNeed, 2.0, true),
		Entry("middle, late", middleNeed, 8.0, false),
	)

	// Guards against a split prompt that waits for a slow helper, or for one that has just started.
	DescribeTable("are not helpers while others can be", func(set func(c *placement.Candidate)) {
		candidates := idleCandidates(20)
		for i := 16; i < 20; i++ {
			set(&candidates[i])
		}
		choice, refusal := planner().PlaceModel(&standardEngine, candidates, longNeed)
		Expect(refusal).To(BeNil())
		Expect(choice.Helpers).NotTo(BeEmpty())
		for _, helper := range choice.Helpers {
			Expect(indexOf(candidates, helper)).To(BeNumerically("<", 16))
		}
	},
		Entry("slow", func(c *placement.Candidate) { c.Slowdown = 3 }),
		Entry("in a slow start", func(c *placement.Candidate) { c.Window = 3 }),
	)

	// Guards against an endpoint that is probed with a prompt whose delay costs much.
	It("are probed with short prompts only", func() {
		candidates := idleCandidates(3)
		for i := range candidates {
			candidates[i].Slowdown, candidates[i].Window, candidates[i].Probe = 8, 1, true
		}
		_, refusal := planner().PlaceModel(&standardEngine, candidates, shortNeed)
		Expect(refusal).To(BeNil())
		_, refusal = planner().PlaceModel(&standardEngine, candidates, middleNeed)
		Expect(refusal).NotTo(BeNil())
	})
})

var _ = Describe("the window of an endpoint in a slow start", func() {
	// Guards against an endpoint that gets more requests than its window, as primary or as helper.
	DescribeTable("bounds its requests", func(need placement.Need) {
		candidates := idleCandidates(3)
		for i := range candidates {
			candidates[i].Window = 3
			candidates[i].Entry = load.Entry{Streams: 2, UsedTokens: 10_000, MaxGap: need.MaxGap}
		}
		_, refusal := planner().PlaceModel(&standardEngine, candidates, need)
		Expect(refusal).To(BeNil())
		for i := range candidates {
			candidates[i].Streams = 3
		}
		_, refusal = planner().PlaceModel(&standardEngine, candidates, need)
		Expect(refusal).NotTo(BeNil())
	},
		Entry("short", shortNeed), Entry("middle", middleNeed),
	)

	// Guards against a plain endpoint that gets more requests than its window, and against a slow one that gets as many as others.
	It("bounds those of a plain endpoint", func() {
		candidates := idleCandidates(2)
		candidates[0].Window, candidates[0].Streams, candidates[1].Streams = 2, 2, 12
		choice, _ := planner().PlacePlain(candidates, "d0", placement.PlainRank{})
		Expect(choice.Primary).To(Equal(candidates[1].Endpoint))
		candidates[0].Window, candidates[0].Slowdown, candidates[1].Streams = 0, 4, 4
		choice, _ = planner().PlacePlain(candidates, "d0", placement.PlainRank{})
		Expect(choice.Primary).To(Equal(candidates[1].Endpoint))
	})

	// Guards against a refusal of a prompt that an endpoint with a window could help with in time.
	It("lets it help if no other endpoint can", func() {
		candidates := idleCandidates(6)
		for i := range candidates {
			candidates[i].Window = 4
		}
		need := longNeed
		need.Objective = 1500 * time.Millisecond
		_, refusal := planner().PlaceModel(&standardEngine, candidates, need)
		Expect(refusal).To(BeNil())
	})
})

package emulator_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/emulator"
)

// hardLoadSeeds is the number of runs of each pattern of docs/design/hard-load.md. The largest tenth of the long prompts has
// about 35 requests in a run of the contended fleet, 8 in one of the uneven fleet.
const hardLoadSeeds = 3

// kindMargin is how much less often a kind may be served than a less urgent one (docs/design/hard-load.md, "Rank").
const kindMargin = 0.05

func runHardLoad(p emulator.Pattern) emulator.Result {
	return emulator.RunSeeds(p, emulator.PlannerPolicy, hardLoadSeeds)
}

// queuedResults holds the results of the patterns with wait queues, which several specs compare.
var queuedResults = make(map[string]emulator.Result)

func queuedHardLoad(p emulator.Pattern) emulator.Result {
	result, ok := queuedResults[p.Name]
	if !ok {
		result = runHardLoad(emulator.Queued(p))
		queuedResults[p.Name] = result
	}
	return result
}

var _ = Describe("the wait queues of schedulers", Ordered, func() {
	for _, pattern := range []emulator.Pattern{emulator.ContendedFleet(), emulator.UnevenFleet()} {
		Context(pattern.Name, Ordered, func() {
			var off, on emulator.Result
			BeforeAll(func() {
				off, on = runHardLoad(pattern), queuedHardLoad(pattern)
				GinkgoWriter.Println(pattern.Name, "off", off.String(), "on", on.String())
			})

			// Guards against a queue that serves some requests at the cost of others that are worth more.
			It("raise the value", func() { Expect(on.Value).To(BeNumerically(">", off.Value)) })

			// Guards against the largest prompts, which are refused because smaller ones take what becomes free.
			It("serve the largest tenth of the long prompts at least half as often as the kind, and more of them than before", func() {
				long := on.Kinds["long"]
				Expect(long.LargeServedFraction()).To(BeNumerically(">=", long.ServedFraction()/2))
				Expect(long.LargeServedFraction()).To(BeNumerically(">", off.Kinds["long"].LargeServedFraction()))
			})

			// Guards against long prompts that wait until the short ones lack endpoints.
			It("serve short prompts as well as before", func() {
				before, after := off.Kinds["short"], on.Kinds["short"]
				Expect(after.Served()).To(BeNumerically(">=", before.Served()))
				Expect(after.Earned).To(BeNumerically(">=", before.Earned))
			})

			// Guards against urgent kinds that wait behind others.
			It("serve no kind less often than a less urgent one", func() {
				kinds := on.Kinds
				Expect(kinds["short"].ServedFraction()).To(BeNumerically(">=", kinds["middle"].ServedFraction()-kindMargin))
				Expect(kinds["middle"].ServedFraction()).To(BeNumerically(">=", kinds["long"].ServedFraction()-kindMargin))
			})

			// Guards against requests that leave a queue without an outcome.
			It("lose no request", func() {
				for name, k := range on.Kinds {
					Expect(k.Served()+k.NotServed).To(Equal(k.Requests), name)
				}
			})
		})
	}

	// Guards against queues whose decisions depend on the order of a map, so that runs cannot be compared.
	It("give equal results for equal seeds", func() {
		pattern := emulator.Queued(emulator.ContendedFleet())
		pattern.Load.Length = 8 * time.Second
		first := emulator.Run(pattern.Options(emulator.PlannerPolicy, 5))
		Expect(emulator.Run(pattern.Options(emulator.PlannerPolicy, 5))).To(Equal(first))
	})
})

// usedFraction returns the fraction of the requested engine time that was served, over the teams that includes accepts.
func usedFraction(r *emulator.Result, includes func(team uint32) bool) float64 {
	var requested, used time.Duration
	for id, team := range r.Teams {
		if includes(id) {
			requested += team.RequestedTime
			used += team.UsedTime
		}
	}
	return used.Seconds() / requested.Seconds()
}

var _ = Describe("the teams of a contended fleet with wait queues", Ordered, func() {
	const greedy, impatient = 8, 2
	// The shares of the two largest teams exceed the fair share as well.
	others := func(team uint32) bool { return team > impatient && team != greedy }
	only := func(team uint32) func(uint32) bool { return func(id uint32) bool { return id == team } }
	var calm emulator.Result
	BeforeAll(func() { calm = queuedHardLoad(emulator.ContendedFleet()) })

	// Guards against a team that takes capacity from all others by sending ten times as much. Its requests are refused first.
	// Without shares of teams all would be served equally seldom.
	It("are served before one that sends tenfold", func() {
		pattern := emulator.ContendedFleet()
		pattern.Load.TeamFactors = map[int]float64{greedy: 10}
		off, on := runHardLoad(pattern), runHardLoad(emulator.Queued(pattern))
		Expect(usedFraction(&on, others)).To(BeNumerically(">", usedFraction(&on, only(greedy))))
		Expect(usedFraction(&on, others)).To(BeNumerically(">", usedFraction(&off, others)))
		Expect(usedFraction(&on, others)).To(BeNumerically(">=", 0.9*usedFraction(&calm, others)))
	})

	// Guards against a team that gets more by retrying at once instead of at the time it was told.
	It("lose nothing to one that retries at once", func() {
		pattern := emulator.Queued(emulator.ContendedFleet())
		pattern.Load.RetriesAtOnce = map[uint32]int{impatient: 100}
		r := runHardLoad(pattern)
		Expect(usedFraction(&r, others)).To(BeNumerically(">=", 0.95*usedFraction(&calm, others)))
		Expect(r.Value).To(BeNumerically(">=", 0.95*calm.Value))
	})
})

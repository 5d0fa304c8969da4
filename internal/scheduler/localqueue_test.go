package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/panics"
	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/scheduler"
)

var _ = Describe("the queue of an instance", func() {
	// Guards against a prompt that exceeds the memory of all engines and waits behind others until its useful time has ended.
	It("refuses a prompt that the engines cannot hold at once, also behind others", func() {
		queue := scheduler.NewLocalQueue(placement.Planner{IntN: func(int) int { return 0 }}, panics.NewRecorder(zerolog.Nop(), func() {}))
		engine := &fleet.Engine{Slots: slots, MemoryTokens: 100_000, Stride: 34, StepTime: time.Millisecond, PrefillRate: 154_000}
		outcomes := make(chan scheduler.Outcome, 2)
		place := func(number int, tokens int64) bool {
			request := scheduler.LocalRequest{PlaceRequest: waitingRequest(number), Engine: engine}
			request.From, request.Need.Tokens, request.Terms.Rank = "", tokens, number
			request.Candidates = func(time.Time) []placement.Candidate {
				return []placement.Candidate{{Endpoint: &fleet.Endpoint{ID: "i-0", Service: service, Slots: slots}}}
			}
			request.Place = func([]placement.Candidate, placement.Need, time.Time) (placement.Choice, *placement.Refusal) {
				return placement.Choice{}, &placement.Refusal{Reason: placement.PrefillBusy}
			}
			return queue.Place(request, time.Now(), func(o scheduler.Outcome) { outcomes <- o })
		}
		Expect(place(1, 90_000)).To(BeTrue())
		Expect(place(2, 150_000)).To(BeFalse())
		var outcome scheduler.Outcome
		Expect(outcomes).To(Receive(&outcome))
		Expect(outcome.Refusal).NotTo(BeNil())
		Expect(outcome.Refusal.Reason).To(Equal(placement.TooLarge))
		queue.End(onlyShard.Service, 1)
	})
})

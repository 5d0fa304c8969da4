package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/placement"
)

var _ = Describe("the engine time of a request", func() {
	// Guards against an output length stated by a caller whose engine time exceeds the range of a duration. A negative or arbitrary
	// engine time corrupts the shares of all teams and the admission of all later requests.
	It("is bounded for any stated length", func() {
		e := &fleet.Engine{
			Slots: 1, MemoryTokens: 100_000, Stride: 34, StepTime: time.Millisecond, PrefillRate: 154_000,
		}
		for _, output := range []int64{1 << 36, 1 << 40, 1 << 42, 1<<47 - 1, 1 << 48} {
			cost := placement.EngineTime(e, placement.Need{Tokens: 100, Output: output})
			Expect(cost).To(BeNumerically(">", 0))
			Expect(cost).To(BeNumerically("<=", 2*fleet.MaxEngineTime), "output of %d tokens", output)
		}
	})
})

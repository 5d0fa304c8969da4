package health_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/health"
	"github.com/acacialift/acacialift/internal/testkit"
)

func TestHealth(t *testing.T) { testkit.RunSpecs(t, "health") }

var _ = Describe("an endpoint", func() {
	start := time.Unix(1_000_000, 0)

	// Guards against an endpoint that is avoided for one failure, and against one that fails and is still used.
	It("is avoided after failures in a row, not after one", func() {
		t := health.NewTracker()
		Expect(t.Failure(1, start)).To(BeFalse())
		Expect(t.IsSuspect(1, start)).To(BeFalse())
		Expect(t.Failure(1, start)).To(BeTrue())
		Expect(t.IsSuspect(1, start)).To(BeTrue())
		Expect(t.IsSuspect(2, start)).To(BeFalse())
		Expect(t.Suspects(start)).To(Equal([]uint32{1}))
	})

	// Guards against an endpoint that is never tried again, and against one that fails and comes back every second.
	It("is tried again, after longer and longer while it goes on failing", func() {
		t := health.NewTracker()
		now := start
		for _, rest := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second} {
			Expect(t.Unreachable(1, now)).To(BeTrue())
			Expect(t.IsSuspect(1, now.Add(rest-time.Millisecond))).To(BeTrue())
			now = now.Add(rest)
			Expect(t.IsSuspect(1, now)).To(BeFalse())
		}
		now = now.Add(time.Second)
		for range 10 {
			t.Success(1, now)
		}
		t.Unreachable(1, now)
		Expect(t.IsSuspect(1, now.Add(time.Second))).To(BeFalse())
	})

	// Guards against an endpoint that fails a part of its requests and is taken for healthy by the others.
	It("that fails four of ten is avoided within a few requests", func() {
		t := health.NewTracker()
		suspected := false
		for i := range 20 {
			now := start.Add(time.Duration(i) * 100 * time.Millisecond)
			if i%5 < 2 {
				t.Failure(1, now)
			} else {
				t.Success(1, now)
			}
			suspected = suspected || t.IsSuspect(1, now)
		}
		Expect(suspected).To(BeTrue())
	})
})

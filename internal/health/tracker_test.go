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

	// Guards against an endpoint that is suspect after one failure, and against an endpoint that fails repeatedly and is
	// not suspect.
	It("is suspect after two consecutive failures, not after one", func() {
		t := health.NewTracker()
		Expect(t.Failure(1, start)).To(BeFalse())
		Expect(t.IsSuspect(1, start)).To(BeFalse())
		Expect(t.Failure(1, start)).To(BeTrue())
		Expect(t.IsSuspect(1, start)).To(BeTrue())
		Expect(t.IsSuspect(2, start)).To(BeFalse())
		Expect(t.Suspects(start)).To(Equal([]uint32{1}))
	})

	// Guards against an endpoint that stays suspect forever, and against a failing endpoint that gets requests again every
	// second. After ten successes, the suspect time must start at one second again.
	It("is suspect for a time that doubles with each further failure, up to 8 s", func() {
		t := health.NewTracker()
		now := start
		for _, wait := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second} {
			Expect(t.Unreachable(1, now)).To(BeTrue())
			Expect(t.IsSuspect(1, now.Add(wait-time.Millisecond))).To(BeTrue())
			now = now.Add(wait)
			Expect(t.IsSuspect(1, now)).To(BeFalse())
		}
		now = now.Add(time.Second)
		for range 10 {
			t.Success(1, now)
		}
		t.Unreachable(1, now)
		Expect(t.IsSuspect(1, now.Add(time.Second))).To(BeFalse())
	})

	// Guards against an endpoint that fails a part of its requests and is not suspect because the other requests succeed.
	It("that fails four of ten requests becomes suspect within 20 requests", func() {
		t := health.NewTracker()
		suspect := false
		for i := range 20 {
			now := start.Add(time.Duration(i) * 100 * time.Millisecond)
			if i%5 < 2 {
				t.Failure(1, now)
			} else {
				t.Success(1, now)
			}
			suspect = suspect || t.IsSuspect(1, now)
		}
		Expect(suspect).To(BeTrue())
	})
})

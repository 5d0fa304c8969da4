package limit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/limit"
)

var _ = Describe("the request rate of an endpoint", func() {
	const endpoint = 7

	// Guards against a limit that is dropped because the response to an earlier request arrives late, and against one that
	// is kept after the endpoint no longer names it.
	It("holds until a response without it to a request that was sent after the latest statement", func() {
		l := limit.NewRateLimiter()
		Expect(l.Observe(endpoint, 2, start)).To(BeTrue())
		Expect(l.Observe(endpoint, 2, start.Add(time.Second))).To(BeFalse())
		Expect(l.Observe(endpoint, 1.6, start.Add(2*time.Second))).To(BeTrue())
		rate, age, limited := l.Rate(endpoint, start.Add(5*time.Second))
		Expect(limited).To(BeTrue())
		Expect(rate).To(Equal(1.6))
		Expect(age).To(Equal(3 * time.Second))

		Expect(l.ObserveNone(endpoint, start.Add(2*time.Second))).To(BeFalse())
		Expect(l.Count()).To(Equal(1))
		Expect(l.ObserveNone(endpoint, start.Add(2001*time.Millisecond))).To(BeTrue())
		Expect(l.ObserveNone(endpoint, start.Add(3*time.Second))).To(BeFalse())
		Expect(l.Count()).To(BeZero())
	})
})

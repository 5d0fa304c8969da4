package gateway_test

import (
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/outcome"
	"github.com/acacialift/acacialift/internal/peer"
)

const (
	shortBudget = 400 * time.Millisecond
	// reachBudget is long enough for a request to reach an endpoint, even on a busy machine.
	reachBudget = time.Second
	// longBudget is not exhausted in any test.
	longBudget     = 20 * time.Second
	notRunResponse = "HTTP/1.1 503 Busy\r\nX-Refused: not_run\r\nContent-Length: 0\r\n\r\n"
)

var _ = Describe("an endpoint that cannot serve the request", func() {
	// Guards against a dispatch that is treated as a possible run although no byte was sent to an endpoint.
	DescribeTable("leads to the outcome not_run if no byte was sent", func(c callerRequest) {
		e := refusingEndpoint("e1", "turf")
		d := refusingEndpoint("d1", "desk")
		r := newRig(e, d)
		response := r.do(c)
		Expect(response.error.Outcome).To(Equal(outcome.NotRun), "%+v", response)
		Expect(response.error.RetrySafe).To(BeTrue())
		Expect(response.header.Get("Retry-After")).NotTo(BeEmpty())
		// The budget usually ends while the request waits, and sometimes during an attempt.
		Expect(response.error.Code).To(Or(Equal("connect_failed"), Equal("endpoint_unavailable")))
		r.expectFinalState(peer.ReportUnused)
	},
		Entry("connection refused, model", completion(false, shortBudget)),
		Entry("connection refused, non-idempotent", booking("", shortBudget)),
	)

	// Guards against a dispatch with an expired credit, whose capacity the owner may have granted again.
	DescribeTable("receives nothing after the credit has expired", func(c callerRequest, valid time.Duration) {
		e := newEndpoint("e1", "turf", respondWith(completeResponse(200, "{}")))
		d := newEndpoint("d1", "desk", respondWith(completeResponse(200, "{}")))
		r := newRig(e, d)
		r.withLock(func() {
			r.credit = func(int, peer.CreditRequest) *peer.CreditReply {
				return &peer.CreditReply{Granted: true, ValidFor: valid}
			}
		})
		response := r.do(c)
		Expect(response.error.Outcome).To(Equal(outcome.NotRun), "%+v", response)
		Expect(response.error.Code).To(Or(Equal("credit_expired"), Equal("endpoint_unavailable")))
		Expect(e.attemptCount() + d.attemptCount()).To(BeZero())
		r.expectFinalState(peer.ReportUnused)
	},
		Entry("model, no validity", completion(false, shortBudget), time.Duration(0)),
		Entry("model, tiny validity", completion(false, shortBudget), time.Nanosecond),
		Entry("plain, no validity", booking("", shortBudget), time.Duration(0)),
	)

	// Guards against a request that is not retried at another endpoint although it was refused or may run more than once.
	DescribeTable("is replaced by another one in a retry", func(c callerRequest, first func(*attempt)) {
		service := "turf"
		if c.profile != "turf-new" {
			service = "desk"
		}
		script := func(a *attempt) {
			a.readRequest()
			_, _ = io.WriteString(a, completeResponse(200, `{"text":"second"}`))
		}
		second := newEndpoint("e2", service, script)
		e := newEndpoint("e1", service, first)
		r := newRig(e, second)
		r.withLock(func() {
			// Only the first endpoint has capacity until it has been tried, and only the second one after that.
			r.credit = func(_ int, request peer.CreditRequest) *peer.CreditReply {
				if (request.Endpoint == "e2") == (e.attemptCount() == 0) {
					return &peer.CreditReply{Reason: "streams"}
				}
				return grantCredit()
			}
		})
		response := r.do(c)
		Expect(response.status).To(Equal(http.StatusOK), "%+v", response)
		Expect(response.body).To(Equal(`{"text":"second"}`))
		Expect(e.attemptCount()).To(Equal(1))
		Expect(second.attemptCount()).To(Equal(1))
	},
		Entry("refusal, model", completion(false, longBudget), respondWith(notRunResponse)),
		Entry("refusal, non-idempotent", booking("", longBudget), respondWith(notRunResponse)),
		Entry("fence 409, model", completion(false, longBudget),
			respondWith("HTTP/1.1 409 Conflict\r\nX-Refused: not_run\r\nContent-Length: 0\r\n\r\n")),
		Entry("reset inside the request, idempotent", idempotentBooking(longBudget), func(a *attempt) { a.reset() }),
		Entry("close after the request, idempotent", idempotentBooking(longBudget), respondWith("")),
		Entry("truncated head, model", completion(true, longBudget), respondWith("HTTP/1.1 200 OK\r\nContent-")),
		Entry("reset inside the request, model", completion(false, longBudget), func(a *attempt) { a.reset() }),
	)

	// Guards against a final outcome that is taken from a later attempt, for example not_run after a refusal, although an
	// earlier attempt may still run.
	DescribeTable("leaves the outcome unknown if an earlier attempt may have run", func(
		c callerRequest, later func(*attempt),
	) {
		service := "turf"
		if c.profile != "turf-new" {
			service = "desk"
		}
		e := newEndpoint("e1", service, func(a *attempt) {
			a.readRequest()
			if a.n > 1 {
				later(a)
			}
		})
		response := newRig(e).do(c)
		Expect(e.attemptCount()).To(BeNumerically(">", 1))
		Expect(response.error.Outcome).To(Equal(outcome.Unknown), "%+v", response)
		Expect(response.error.RetrySafe).To(BeTrue())
	},
		Entry("refusal later", idempotentBooking(reachBudget), func(a *attempt) { _, _ = io.WriteString(a, notRunResponse) }),
		Entry("connection closed again", idempotentBooking(reachBudget), func(*attempt) {}),
		Entry("stream without its terminal event later", completion(true, longBudget), func(a *attempt) {
			_, _ = io.WriteString(a, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 9\r\n\r\ndata: x\n\n")
		}),
	)

	// Guards against the outcome not_run for a request that reached an endpoint.
	DescribeTable("may have run the non-idempotent request", func(script func(*attempt)) {
		e := newEndpoint("d1", "desk", script)
		other := newEndpoint("d2", "desk", script)
		response := newRig(e, other).do(booking("", longBudget))
		Expect(response.error.Outcome).To(Equal(outcome.Unknown), "%+v", response)
		Expect(response.error.RetrySafe).To(BeFalse())
		Expect(e.attemptCount() + other.attemptCount()).To(Equal(1))
	},
		Entry("reset inside the request", func(a *attempt) { a.reset() }),
		Entry("close inside the request", func(*attempt) {}),
		Entry("reset after the request", func(a *attempt) { a.readRequest(); a.reset() }),
		Entry("close after the request", respondWith("")),
		Entry("truncated head", respondWith("HTTP/1.1 200 OK\r\nX-Refu")),
		Entry("truncated body", respondWith(completeResponse(200, "{}")[:75])),
		Entry("malformed response", respondWith("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n")),
	)

	// Guards against an engine that cannot detect a credit of a replaced owner, because the dispatch has no fence.
	It("receives the fence of the credit", func() {
		fences := make(chan string, 1)
		e := newEndpoint("e1", "turf", func(a *attempt) {
			request, _ := a.readRequest()
			fences <- request.Header.Get("X-Fence")
			_, _ = io.WriteString(a, completeResponse(200, "{}"))
		})
		Expect(newRig(e).do(completion(false, longBudget)).status).To(Equal(200))
		Expect(fences).To(Receive(Equal("77")))
	})

	// Guards against attempts in a tight loop at an endpoint that fails immediately.
	It("is tried again only after a delay", func() {
		e := refusingEndpoint("e1", "turf")
		r := newRig(e)
		r.do(completion(false, shortBudget))
		Expect(r.creditRequestCount()).To(BeNumerically("<=", 1+int(shortBudget/(20*time.Millisecond))))
	})
})

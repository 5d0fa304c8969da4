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
	// reachBudget is used up after the request reached an endpoint, also on a busy machine.
	reachBudget = time.Second
	// longBudget is never used up.
	longBudget = 20 * time.Second
	refusal    = "HTTP/1.1 503 Busy\r\nX-Refused: not_run\r\nContent-Length: 0\r\n\r\n"
)

var _ = Describe("an endpoint that cannot take the request", func() {
	// Guards against a dispatch that is taken for a possible run although no byte went to an endpoint.
	DescribeTable("is answered not_run if no byte was handed over", func(c call) {
		e := closedEndpoint("e1", "turf")
		d := closedEndpoint("d1", "desk")
		r := newRig(e, d)
		a := r.do(c)
		Expect(a.error.Outcome).To(Equal(outcome.NotRun), "%+v", a)
		Expect(a.error.RetrySafe).To(BeTrue())
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		// The budget ends while the request waits or, rarely, during an attempt.
		Expect(a.error.Code).To(Or(Equal("connect_failed"), Equal("endpoint_unavailable")))
		r.expectAllEnded(peer.ReportUnused)
	},
		Entry("connection refused, model", completion(false, shortBudget)),
		Entry("connection refused, non-idempotent", booking("", shortBudget)),
	)

	// Guards against a request that is handed over with a credit that the owner no longer counts.
	DescribeTable("gets nothing after the credit expired", func(c call, valid time.Duration) {
		e := newEndpoint("e1", "turf", answering(wholeAnswer(200, "{}")))
		d := newEndpoint("d1", "desk", answering(wholeAnswer(200, "{}")))
		r := newRig(e, d)
		r.locked(func() {
			r.credit = func(int, peer.CreditRequest) *peer.CreditReply {
				return &peer.CreditReply{Granted: true, ValidFor: valid}
			}
		})
		a := r.do(c)
		Expect(a.error.Outcome).To(Equal(outcome.NotRun), "%+v", a)
		Expect(a.error.Code).To(Or(Equal("credit_expired"), Equal("endpoint_unavailable")))
		Expect(e.seen() + d.seen()).To(BeZero())
		r.expectAllEnded(peer.ReportUnused)
	},
		Entry("model, no validity", completion(false, shortBudget), time.Duration(0)),
		Entry("model, tiny validity", completion(false, shortBudget), time.Nanosecond),
		Entry("plain, no validity", booking("", shortBudget), time.Duration(0)),
	)

	// Guards against a refused request that is not tried elsewhere, and against one that counts as run.
	DescribeTable("is left for another one", func(c call, first func(*arrival)) {
		service := "turf"
		if c.profile != "turf-new" {
			service = "desk"
		}
		script := func(a *arrival) {
			a.request()
			_, _ = io.WriteString(a, wholeAnswer(200, `{"text":"second"}`))
		}
		second := newEndpoint("e2", service, script)
		e := newEndpoint("e1", service, first)
		r := newRig(e, second)
		r.locked(func() {
			// The first endpoint is free until it was tried, the second one after that.
			r.credit = func(_ int, ask peer.CreditRequest) *peer.CreditReply {
				if (ask.Endpoint == "e2") == (e.seen() == 0) {
					return &peer.CreditReply{Reason: "streams"}
				}
				return grant()
			}
		})
		a := r.do(c)
		Expect(a.status).To(Equal(http.StatusOK), "%+v", a)
		Expect(a.body).To(Equal(`{"text":"second"}`))
		Expect(e.seen()).To(Equal(1))
		Expect(second.seen()).To(Equal(1))
	},
		Entry("typed refusal, model", completion(false, longBudget), answering(refusal)),
		Entry("typed refusal, non-idempotent", booking("", longBudget), answering(refusal)),
		Entry("fence 409, model", completion(false, longBudget),
			answering("HTTP/1.1 409 Conflict\r\nX-Refused: not_run\r\nContent-Length: 0\r\n\r\n")),
		Entry("reset inside the request, idempotent", repeatable(longBudget), func(a *arrival) { a.reset() }),
		Entry("close after the request, idempotent", repeatable(longBudget), answering("")),
		Entry("cut head, model", completion(true, longBudget), answering("HTTP/1.1 200 OK\r\nContent-")),
		Entry("untyped break of a model request", completion(false, longBudget), func(a *arrival) { a.reset() }),
	)

	// Guards against an answer of an attempt that is refused while an earlier attempt may still run.
	DescribeTable("decides nothing about an earlier attempt that may have run", func(c call, later func(*arrival)) {
		service := "turf"
		if c.profile != "turf-new" {
			service = "desk"
		}
		e := newEndpoint("e1", service, func(a *arrival) {
			a.request()
			if a.n > 1 {
				later(a)
			}
		})
		a := newRig(e).do(c)
		Expect(e.seen()).To(BeNumerically(">", 1))
		Expect(a.error.Outcome).To(Equal(outcome.Unknown), "%+v", a)
		Expect(a.error.RetrySafe).To(BeTrue())
	},
		Entry("typed refusal later", repeatable(reachBudget), func(a *arrival) { _, _ = io.WriteString(a, refusal) }),
		Entry("broken again", repeatable(reachBudget), func(*arrival) {}),
		Entry("stream without its end later", completion(true, longBudget), func(a *arrival) {
			_, _ = io.WriteString(a, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 9\r\n\r\ndata: x\n\n")
		}),
	)

	// Guards against an answer not_run for a request that reached an endpoint.
	DescribeTable("may have run the non-idempotent request", func(script func(*arrival)) {
		e := newEndpoint("d1", "desk", script)
		other := newEndpoint("d2", "desk", script)
		a := newRig(e, other).do(booking("", longBudget))
		Expect(a.error.Outcome).To(Equal(outcome.Unknown), "%+v", a)
		Expect(a.error.RetrySafe).To(BeFalse())
		Expect(e.seen() + other.seen()).To(Equal(1))
	},
		Entry("reset inside the request", func(a *arrival) { a.reset() }),
		Entry("close inside the request", func(*arrival) {}),
		Entry("reset after the request", func(a *arrival) { a.request(); a.reset() }),
		Entry("close after the request", answering("")),
		Entry("cut head", answering("HTTP/1.1 200 OK\r\nX-Refu")),
		Entry("cut body", answering(wholeAnswer(200, "{}")[:75])),
		Entry("malformed answer", answering("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n")),
	)

	// Guards against an engine that cannot tell the grant of a replaced owner.
	It("gets the fencing number of the grant", func() {
		seen := make(chan string, 1)
		e := newEndpoint("e1", "turf", func(a *arrival) {
			request, _ := a.request()
			seen <- request.Header.Get("X-Fence")
			_, _ = io.WriteString(a, wholeAnswer(200, "{}"))
		})
		Expect(newRig(e).do(completion(false, longBudget)).status).To(Equal(200))
		Expect(seen).To(Receive(Equal("77")))
	})

	// Guards against a request without pause between attempts at an endpoint that fails at once.
	It("is not asked for again at once", func() {
		e := closedEndpoint("e1", "turf")
		r := newRig(e)
		r.do(completion(false, shortBudget))
		Expect(r.askCount()).To(BeNumerically("<=", 1+int(shortBudget/(20*time.Millisecond))))
	})
})

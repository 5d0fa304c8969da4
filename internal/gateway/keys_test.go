package gateway_test

import (
	"bufio"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/outcome"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/testkit"
)

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func keyReply(reply peer.KeyReply) func(int, peer.KeyClaim) *peer.KeyReply {
	return func(int, peer.KeyClaim) *peer.KeyReply { return &reply }
}

var _ = Describe("a request with an idempotency key", func() {
	// Guards against a dispatch without a claim granted by the key's home, and against a response that does not match the
	// home's reply.
	DescribeTable("is not dispatched without a granted claim", func(
		reply peer.KeyReply, status int, want outcome.Outcome, code string, retrySafe bool,
	) {
		d := newEndpoint("d1", "desk", respondWith(completeResponse(201, "{}")))
		r := newRig(d)
		r.withLock(func() { r.key = keyReply(reply) })
		response := r.do(booking(newKey(), longBudget))
		expectGatewayError(response, want, outcome.StageAdmission, code)
		Expect(response.status).To(Equal(status))
		Expect(response.error.RetrySafe).To(Equal(retrySafe))
		Expect(d.attemptCount()).To(BeZero())
		Expect(r.creditRequestCount()).To(BeZero())
		Expect(r.keyEnds()).To(BeEmpty())
		if reply.Status != 0 {
			Expect(response.error.Message).To(ContainSubstring(strconv.Itoa(reply.Status)))
		}
	},
		Entry("running", peer.KeyReply{Verdict: peer.KeyRunning}, 409, outcome.Unknown, "duplicate_running", true),
		Entry("ended", peer.KeyReply{Verdict: peer.KeyEnded, Status: 201}, 409, outcome.Failed, "duplicate_ended", true),
		Entry("ended unknown", peer.KeyReply{Verdict: peer.KeyEnded, Outcome: "unknown"},
			409, outcome.Unknown, "duplicate_unknown", false),
		Entry("unknown", peer.KeyReply{Verdict: peer.KeyUnknown, Reason: "label_before"},
			409, outcome.Unknown, "key_label_before", false),
		Entry("refused", peer.KeyReply{Verdict: peer.KeyRefused, Reason: "full", RetryAfter: time.Second},
			503, outcome.NotRun, "key_full", true),
		Entry("mismatch", peer.KeyReply{Verdict: peer.KeyMismatch}, 422, outcome.NotRun, "key_mismatch", false),
		Entry("with an unsupported verdict", peer.KeyReply{Verdict: "new", Reason: "x"}, 409, outcome.Unknown, "key_x", false),
	)

	// Guards against a key that is accepted although its home could not detect a duplicate of it.
	It("is refused if the key is not a UUIDv7", func() {
		d := newEndpoint("d1", "desk", respondWith(completeResponse(201, "{}")))
		r := newRig(d)
		expectGatewayError(r.do(booking(uuid.NewString(), longBudget)), outcome.NotRun, outcome.StageAdmission, "invalid_key")
		Expect(d.attemptCount()).To(BeZero())
	})

	// Guards against a second dispatch, and against a claim that is released although the request may have run.
	DescribeTable("is dispatched once and ends its claim", func(script func(*attempt), want peer.KeyEnd, wantAttempts int) {
		d := newEndpoint("d1", "desk", script)
		r := newRig(d)
		budget := longBudget
		if wantAttempts == 0 {
			d.address = refusingEndpoint("", "").address
			r.publish(document, d)
			r.awaitRevision()
			budget = shortBudget
		}
		key := newKey()
		r.do(booking(key, budget))
		want.Service, want.Key, want.Token = "desk", key, 5
		Eventually(r.keyEnds, eventTimeout).Should(Equal([]peer.KeyEnd{want}))
		Expect(d.attemptCount()).To(Equal(wantAttempts))
	},
		Entry("answered", respondWith(completeResponse(201, "{}")), peer.KeyEnd{Status: 201}, 1),
		Entry("answered 500", respondWith(completeResponse(500, "{}")), peer.KeyEnd{Status: 500}, 1),
		Entry("connection reset", func(a *attempt) { a.reset() }, peer.KeyEnd{Outcome: "unknown", Status: 504}, 1),
		Entry("response truncated", respondWith("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab"),
			peer.KeyEnd{Outcome: "unknown", Status: 504}, 1),
		Entry("connection refused", nil, peer.KeyEnd{NotRun: true, Outcome: "not_run", Status: 503}, 0),
	)

	// Guards against a key that stays claimed because one message is lost.
	It("reports the end of its claim again until the home acknowledges it", func() {
		r := newRig(newEndpoint("d1", "desk", respondWith(completeResponse(201, "{}"))))
		r.withLock(func() { r.lostEndAcks = 1 })
		Expect(r.do(booking(newKey(), longBudget)).status).To(Equal(201))
		Eventually(r.keyEnds, eventTimeout).Should(HaveLen(2))
		ends := r.keyEnds()
		Expect(ends[0]).To(Equal(ends[1]))
	})

	// Guards against a retried claim that the home treats as a duplicate because it differs from the first one, and against
	// two dispatches.
	It("retries a claim whose reply was lost", func() {
		d := newEndpoint("d1", "desk", respondWith(completeResponse(201, "{}")))
		r := newRig(d)
		r.withLock(func() {
			r.key = func(n int, _ peer.KeyClaim) *peer.KeyReply {
				if n == 1 {
					return nil
				}
				return &peer.KeyReply{Verdict: peer.KeyGranted, Token: 5}
			}
		})
		Expect(r.do(booking(newKey(), longBudget)).status).To(Equal(201))
		r.withLock(func() {
			Expect(r.claims).To(HaveLen(2))
			Expect(r.claims[0]).To(Equal(r.claims[1]))
		})
		Expect(d.attemptCount()).To(Equal(1))
	})

	// Guards against a second dispatch that is caused by a late reply to the first of two claims.
	It("is dispatched once if the home replies after the claim was retried", func() {
		d := newEndpoint("d1", "desk", respondWith(completeResponse(201, "{}")))
		r := newRig(d)
		r.withLock(func() {
			r.key = func(n int, _ peer.KeyClaim) *peer.KeyReply {
				if n == 1 {
					time.Sleep(lateReplyDelay)
				}
				return &peer.KeyReply{Verdict: peer.KeyGranted, Token: 5}
			}
		})
		Expect(r.do(booking(newKey(), longBudget)).status).To(Equal(201))
		Eventually(r.keyEnds, eventTimeout).Should(HaveLen(1))
		Expect(r.keyEnds()[0].NotRun).To(BeFalse())
		Expect(d.attemptCount()).To(Equal(1))
	})

	// Guards against a claim that stays open after its gateway gave up: every retry with the key would be refused as a
	// duplicate of a running request.
	It("releases a claim whose replies were all lost until the request's budget ended", func() {
		d := newEndpoint("d1", "desk", respondWith(completeResponse(201, "{}")))
		r := newRig(d)
		loseReplies := true
		r.withLock(func() {
			r.key = func(int, peer.KeyClaim) *peer.KeyReply {
				if loseReplies {
					return nil
				}
				return &peer.KeyReply{Verdict: peer.KeyGranted, Token: 9}
			}
		})
		key := newKey()
		response := r.do(booking(key, shortBudget))
		expectGatewayError(response, outcome.NotRun, outcome.StageAdmission, "key_home_unreachable")
		Expect(response.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(response.error.Message).To(ContainSubstring("it is not known whether an earlier attempt with the key ran"))
		r.withLock(func() { loseReplies = false })
		Eventually(r.keyEnds, eventTimeout).Should(Equal([]peer.KeyEnd{{
			Service: "desk", Key: key, Token: 9, NotRun: true, Outcome: "not_run",
		}}))
		Expect(d.attemptCount()).To(BeZero())
	})

	// Guards against a dispatch although the key's home cannot be reached.
	It("is not run while its key's home is unreachable, and runs once the home is reachable", func() {
		d := newEndpoint("d1", "desk", respondWith(completeResponse(201, "{}")))
		r := newRig(d)
		reachable := r.address
		r.withLock(func() { r.moveKeyHomes(testkit.FreeAddresses(1)[0]) })
		Eventually(func() string { return r.do(booking(newKey(), shortBudget)).error.Code }, eventTimeout).
			Should(Equal("key_home_unreachable"))
		attemptsBefore := d.attemptCount()
		conn := r.begin(booking(newKey(), longBudget))
		r.withLock(func() { r.moveKeyHomes(reachable) })
		Expect(readResponse(bufio.NewReader(conn), "POST").status).To(Equal(201))
		Expect(d.attemptCount()).To(Equal(attemptsBefore + 1))
	})

	// Guards against a dispatch although the key's home is not known.
	It("is not run while its key has no home", func() {
		d := newEndpoint("d1", "desk", respondWith(completeResponse(201, "{}")))
		r := newRig(d)
		r.withLock(func() { r.owners = r.owners[:1]; r.version++ })
		Eventually(func() string { return r.do(booking(newKey(), shortBudget)).error.Code }, eventTimeout).
			Should(Equal("key_home_unreachable"))
	})

	// Guards against an unnecessary claim for a request that may run more than once.
	It("needs no claim if it is idempotent", func() {
		r := newRig(newEndpoint("d1", "desk", respondWith(completeResponse(200, "{}"))))
		c := idempotentBooking(longBudget)
		c.key = newKey()
		Expect(r.do(c).status).To(Equal(http.StatusOK))
		r.withLock(func() { Expect(r.claims).To(BeEmpty()) })
	})
})

// lateReplyDelay is longer than the gateway waits for a reply from a key's home.
const lateReplyDelay = 1200 * time.Millisecond

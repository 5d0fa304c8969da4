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

func verdict(reply peer.KeyReply) func(int, peer.KeyClaim) *peer.KeyReply {
	return func(int, peer.KeyClaim) *peer.KeyReply { return &reply }
}

var _ = Describe("a request with an idempotency key", func() {
	// Guards against a dispatch that the key's home did not grant, and against an answer that claims more than the home
	// knows.
	DescribeTable("is not handed over without a granted claim", func(
		reply peer.KeyReply, status int, want outcome.Outcome, code string, repeatSafe bool,
	) {
		d := newEndpoint("d1", "desk", answering(wholeAnswer(201, "{}")))
		r := newRig(d)
		r.locked(func() { r.key = verdict(reply) })
		a := r.do(booking(newKey(), longBudget))
		expectAnswer(a, want, outcome.StageAdmission, code)
		Expect(a.status).To(Equal(status))
		Expect(a.error.RetrySafe).To(Equal(repeatSafe))
		Expect(d.seen()).To(BeZero())
		Expect(r.askCount()).To(BeZero())
		Expect(r.keyEnds()).To(BeEmpty())
		if reply.Status != 0 {
			Expect(a.error.Message).To(ContainSubstring(strconv.Itoa(reply.Status)))
		}
	},
		Entry("running", peer.KeyReply{Verdict: peer.KeyRunning}, 409, outcome.Unknown, "duplicate_running", true),
		Entry("ended", peer.KeyReply{Verdict: peer.KeyEnded, Status: 201}, 409, outcome.Failed, "duplicate_ended", true),
		Entry("ended unknown", peer.KeyReply{Verdict: peer.KeyEnded, Outcome: "unknown"}, 409, outcome.Unknown, "duplicate_unknown", false),
		Entry("unknown", peer.KeyReply{Verdict: peer.KeyUnknown, Reason: "label_before"}, 409, outcome.Unknown, "key_label_before", false),
		Entry("refused", peer.KeyReply{Verdict: peer.KeyRefused, Reason: "full", RetryAfter: time.Second}, 503, outcome.NotRun, "key_full", true),
		Entry("mismatch", peer.KeyReply{Verdict: peer.KeyMismatch}, 422, outcome.NotRun, "key_mismatch", false),
		Entry("of a verdict that it does not know", peer.KeyReply{Verdict: "new", Reason: "x"}, 409, outcome.Unknown, "key_x", false),
	)

	// Guards against a key that is accepted although no home could ever refuse a duplicate of it.
	It("is refused if the key is no UUIDv7", func() {
		d := newEndpoint("d1", "desk", answering(wholeAnswer(201, "{}")))
		r := newRig(d)
		expectAnswer(r.do(booking(uuid.NewString(), longBudget)), outcome.NotRun, outcome.StageAdmission, "invalid_key")
		Expect(d.seen()).To(BeZero())
	})

	// Guards against a second dispatch, and against a key that is released although the request may have run.
	DescribeTable("is handed over once and ends its claim", func(script func(*arrival), want peer.KeyEnd, arrivals int) {
		d := newEndpoint("d1", "desk", script)
		r := newRig(d)
		budget := longBudget
		if arrivals == 0 {
			d.address = closedEndpoint("", "").address
			r.publish(document, d)
			r.awaitRevision()
			budget = shortBudget
		}
		key := newKey()
		r.do(booking(key, budget))
		want.Service, want.Key, want.Token = "desk", key, 5
		Eventually(r.keyEnds, eventLimit).Should(Equal([]peer.KeyEnd{want}))
		Expect(d.seen()).To(Equal(arrivals))
	},
		Entry("answered", answering(wholeAnswer(201, "{}")), peer.KeyEnd{Status: 201}, 1),
		Entry("answered 500", answering(wholeAnswer(500, "{}")), peer.KeyEnd{Status: 500}, 1),
		Entry("broken", func(a *arrival) { a.reset() }, peer.KeyEnd{Outcome: "unknown", Status: 504}, 1),
		Entry("cut", answering("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab"), peer.KeyEnd{Outcome: "unknown", Status: 504}, 1),
		Entry("connection refused", nil, peer.KeyEnd{NotRun: true, Outcome: "not_run", Status: 503}, 0),
	)

	// Guards against a key that stays claimed because one message was lost.
	It("repeats the end of its claim until the home acknowledged it", func() {
		r := newRig(newEndpoint("d1", "desk", answering(wholeAnswer(201, "{}"))))
		r.locked(func() { r.loseEnds = 1 })
		Expect(r.do(booking(newKey(), longBudget)).status).To(Equal(201))
		Eventually(r.keyEnds, eventLimit).Should(HaveLen(2))
		ends := r.keyEnds()
		Expect(ends[0]).To(Equal(ends[1]))
	})

	// Guards against two claims of one arrival that the home takes for a duplicate, and against two dispatches.
	It("repeats a claim whose reply was lost", func() {
		d := newEndpoint("d1", "desk", answering(wholeAnswer(201, "{}")))
		r := newRig(d)
		r.locked(func() {
			r.key = func(n int, _ peer.KeyClaim) *peer.KeyReply {
				if n == 1 {
					return nil
				}
				return &peer.KeyReply{Verdict: peer.KeyGranted, Token: 5}
			}
		})
		Expect(r.do(booking(newKey(), longBudget)).status).To(Equal(201))
		r.locked(func() {
			Expect(r.claims).To(HaveLen(2))
			Expect(r.claims[0]).To(Equal(r.claims[1]))
		})
		Expect(d.seen()).To(Equal(1))
	})

	// Guards against the late reply to an abandoned claim, which must not lead to a second dispatch.
	It("is handed over once if the home answers after the claim was repeated", func() {
		d := newEndpoint("d1", "desk", answering(wholeAnswer(201, "{}")))
		r := newRig(d)
		r.locked(func() {
			r.key = func(n int, _ peer.KeyClaim) *peer.KeyReply {
				if n == 1 {
					time.Sleep(lateReply)
				}
				return &peer.KeyReply{Verdict: peer.KeyGranted, Token: 5}
			}
		})
		Expect(r.do(booking(newKey(), longBudget)).status).To(Equal(201))
		Eventually(r.keyEnds, eventLimit).Should(HaveLen(1))
		Expect(r.keyEnds()[0].NotRun).To(BeFalse())
		Expect(d.seen()).To(Equal(1))
	})

	// Guards against a claim that its gateway abandoned: every repeat with the key would be told that it is running.
	It("releases a claim whose reply was lost until its budget ended", func() {
		d := newEndpoint("d1", "desk", answering(wholeAnswer(201, "{}")))
		r := newRig(d)
		lose := true
		r.locked(func() {
			r.key = func(int, peer.KeyClaim) *peer.KeyReply {
				if lose {
					return nil
				}
				return &peer.KeyReply{Verdict: peer.KeyGranted, Token: 9}
			}
		})
		key := newKey()
		a := r.do(booking(key, shortBudget))
		expectAnswer(a, outcome.NotRun, outcome.StageAdmission, "key_home_unreachable")
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(a.error.Message).To(ContainSubstring("whether an earlier attempt with the key ran is not known"))
		r.locked(func() { lose = false })
		Eventually(r.keyEnds, eventLimit).Should(Equal([]peer.KeyEnd{{
			Service: "desk", Key: key, Token: 9, NotRun: true, Outcome: "not_run",
		}}))
		Expect(d.seen()).To(BeZero())
	})

	// Guards against a request that is handed over although its home cannot be reached.
	It("is not run while its key's home is unreachable, and runs once the home is reachable", func() {
		d := newEndpoint("d1", "desk", answering(wholeAnswer(201, "{}")))
		r := newRig(d)
		reachable := r.address
		r.locked(func() { r.moveKeys(testkit.FreeAddresses(1)[0]) })
		Eventually(func() string { return r.do(booking(newKey(), shortBudget)).error.Code }, eventLimit).
			Should(Equal("key_home_unreachable"))
		seen := d.seen()
		conn := r.begin(booking(newKey(), longBudget))
		r.locked(func() { r.moveKeys(reachable) })
		Expect(readAnswer(bufio.NewReader(conn), "POST").status).To(Equal(201))
		Expect(d.seen()).To(Equal(seen + 1))
	})

	// Guards against a request that is handed over although no home is known.
	It("is not run while its key has no home", func() {
		d := newEndpoint("d1", "desk", answering(wholeAnswer(201, "{}")))
		r := newRig(d)
		r.locked(func() { r.owners = r.owners[:1]; r.version++ })
		Eventually(func() string { return r.do(booking(newKey(), shortBudget)).error.Code }, eventLimit).
			Should(Equal("key_home_unreachable"))
	})

	// Guards against a claim for requests that may run more than once.
	It("needs no claim if it is idempotent", func() {
		r := newRig(newEndpoint("d1", "desk", answering(wholeAnswer(200, "{}"))))
		c := repeatable(longBudget)
		c.key = newKey()
		Expect(r.do(c).status).To(Equal(http.StatusOK))
		r.locked(func() { Expect(r.claims).To(BeEmpty()) })
	})
})

// lateReply is longer than the gateway waits for one reply of a key's home.
const lateReply = 1200 * time.Millisecond

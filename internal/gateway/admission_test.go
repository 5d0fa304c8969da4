package gateway_test

import (
	"bufio"
	"io"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/credit"
	"github.com/acacialift/acacialift/internal/gateway"
	"github.com/acacialift/acacialift/internal/outcome"
	"github.com/acacialift/acacialift/internal/peer"
)

var _ = Describe("admission", func() {
	// Guards against a request that is taken although it cannot be served as asked.
	DescribeTable("refuses", func(change func(*call), code string) {
		e := newEndpoint("e1", "turf", answering(wholeAnswer(200, "{}")))
		r := newRig(e)
		c := completion(false, shortBudget)
		change(&c)
		a := r.do(c)
		expectAnswer(a, outcome.NotRun, outcome.StageAdmission, code)
		Expect(a.status).To(Equal(400))
		Expect(r.askCount()).To(BeZero())
		Expect(e.seen()).To(BeZero())
	},
		Entry("an unknown profile", func(c *call) { c.profile = "turf-old" }, "unknown_profile"),
		Entry("a team that is not in the configuration", func(c *call) { c.team = "others" }, "unknown_team"),
		Entry("a budget above the profile's maximum", func(c *call) { c.budget = 61 * time.Second }, "budget_too_large"),
		Entry("more output than the profile allows", func(c *call) {
			c.body = strings.Replace(c.body, "{", `{"max_tokens":1000000,`, 1)
		}, "max_tokens_too_large"),
		Entry("a profile of another kind of service", func(c *call) { c.profile = "desk-any" }, "wrong_profile"),
	)

	// Guards against an engine that generates more than the memory reserved for the answer, because the request names no
	// limit or more than its profile allows.
	DescribeTable("bounds the output", func(body, handedOver string) {
		Expect(string(gateway.WithMaxTokens([]byte(body), 64))).To(MatchJSON(handedOver))
	},
		Entry("no limit", `{"prompt":"a"}`, `{"prompt":"a","max_tokens":64}`),
		Entry("leading space", ` { "prompt":"a{"}`, `{"prompt":"a{","max_tokens":64}`),
		Entry("null", `{"prompt":"a","max_tokens":null}`, `{"prompt":"a","max_tokens":64}`),
		Entry("the field's name inside the prompt", `{"prompt":"\"max_tokens\""}`, `{"prompt":"\"max_tokens\"","max_tokens":64}`),
	)

	// Guards against refusals that operators cannot see because the server gives them before the handler runs.
	DescribeTable("answers and logs a request that cannot be received", func(text, code string) {
		r := newRig(newEndpoint("e1", "turf", answering(wholeAnswer(200, "{}"))))
		conn := r.dial()
		r.sent++
		_, err := io.WriteString(conn, text)
		Expect(err).NotTo(HaveOccurred())
		expectAnswer(readAnswer(bufio.NewReader(conn), "POST"), outcome.NotRun, outcome.StageAdmission, code)
		Expect(r.log.lines("answer")).To(ConsistOf(HaveKeyWithValue("code", code)))
	},
		Entry("malformed", "POST /v1/completions\r\n\r\n", "malformed_request"),
		Entry("with two lengths", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "malformed_request"),
		Entry("too large", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n", "body_too_large"),
	)

	// Guards against a gateway that serves before it knows the configuration.
	It("refuses without a view", func() {
		r := &rig{controller: startController(), log: &logBuffer{}}
		r.start()
		a := r.do(completion(false, shortBudget))
		expectAnswer(a, outcome.NotRun, outcome.StageAdmission, "no_current_view")
		Expect(a.header.Get("Retry-After")).To(Equal("2"))
		r.publish(document, newEndpoint("e1", "turf", answering(wholeAnswer(200, "{}"))))
		r.awaitRevision()
		Expect(r.do(completion(false, longBudget)).status).To(Equal(200))
		r.checkEnds()
	})

	// Guards against a gateway that serves for long with an old configuration, and against one that never recovers.
	It("refuses while the controller is gone for longer than the view may be old", func() {
		r := newRig(newEndpoint("e1", "turf", answering(wholeAnswer(200, "{}"))))
		r.node.Close()
		Eventually(func() string { return r.do(completion(false, shortBudget)).error.Code }, eventLimit).
			Should(Equal("no_current_view"))
		Expect(r.listen()).To(Succeed())
		Eventually(func() int { return r.do(completion(false, longBudget)).status }, eventLimit).Should(Equal(200))
		// Reports to the closed controller are lost.
		r.locked(func() { r.granted = nil })
	})

	// Guards against a planned stop that refuses requests while the load balancer still sends them here.
	It("goes on until the balancer's lag has passed", func() {
		r := newRigWithLag(time.Hour, newEndpoint("e1", "turf", answering(wholeAnswer(200, "{}"))))
		r.gateway.StartDrain("test")
		Expect(r.log.lines("drain_started")).To(HaveLen(1))
		Expect(r.do(completion(false, longBudget)).status).To(Equal(200))
		Expect(r.gateway.Drained()).NotTo(BeClosed())
	})

	// Guards against a planned stop that cuts off a request or takes new work after the balancer's lag.
	It("ends with a planned stop after the balancer's lag, and running streams end whole", func() {
		finish := make(chan struct{})
		e := newEndpoint("e1", "turf", func(a *arrival) {
			a.request()
			_, _ = io.WriteString(a, streamHead+chunk("data: one\n\n"))
			<-finish
			_, _ = io.WriteString(a, chunk(doneEvent)+streamEnd)
		})
		r := newRig(e, newEndpoint("d1", "desk", answering(wholeAnswer(200, "{}"))))
		conn := r.begin(completion(true, longBudget))
		reader := bufio.NewReader(conn)
		Eventually(e.running, eventLimit).Should(Equal(1))
		r.locked(func() { r.draining = true })
		Eventually(func() []map[string]any { return r.log.lines("drain_started") }, eventLimit).Should(HaveLen(1))
		Eventually(func() []map[string]any { return r.log.lines("drain_refusing") }, eventLimit).Should(HaveLen(1))
		a := r.do(booking("", longBudget))
		expectAnswer(a, outcome.NotRun, outcome.StageAdmission, "leaving")
		Expect(a.header.Get("Retry-After")).To(Equal("1"))
		Expect(r.gateway.Drained()).NotTo(BeClosed())
		close(finish)
		Expect(readAnswer(reader, "POST").body).To(Equal("data: one\n\n" + doneEvent))
		_ = conn.Close()
		Eventually(r.gateway.Drained(), eventLimit).Should(BeClosed())
	})

	// Guards against a planned stop that ends the process while the last bytes of an answer are still being sent.
	It("ends only when the last answer was taken", func() {
		body := strings.Repeat("x", 3<<20)
		r := newRig(newEndpoint("d1", "desk", answering(wholeAnswer(200, body))))
		conn := r.begin(booking("", longBudget))
		Eventually(r.grantedEnds, eventLimit).Should(HaveLen(1))
		r.gateway.StartDrain("test")
		Eventually(func() []map[string]any { return r.log.lines("drain_refusing") }, eventLimit).Should(HaveLen(1))
		Expect(r.gateway.Drained()).NotTo(BeClosed())
		Expect(readAnswer(bufio.NewReader(conn), "POST").body).To(Equal(body))
		_ = conn.Close()
		Eventually(r.gateway.Drained(), eventLimit).Should(BeClosed())
	})

	// Guards against an admitted request that a new revision takes its profile from.
	DescribeTable("keeps the revision of a request that waits for a credit", func(change func(string) string, code string) {
		e := newEndpoint("e1", "turf", answering(wholeAnswer(200, "{}")))
		r := newRig(e)
		free := false
		r.locked(func() {
			r.credit = func(int, peer.CreditRequest) *peer.CreditReply {
				if free {
					return grant()
				}
				return &peer.CreditReply{Reason: credit.ReasonStreams}
			}
		})
		conn := r.begin(completion(false, longBudget))
		Eventually(r.askCount, eventLimit).Should(BeNumerically(">", 0))
		r.publish(change(document), e)
		r.awaitRevision()
		Expect(r.do(completion(false, longBudget)).error.Code).To(Equal(code))
		r.locked(func() { free = true })
		Expect(readAnswer(bufio.NewReader(conn), "POST").status).To(Equal(200))
		r.locked(func() {
			Expect(r.asks[len(r.asks)-1]).To(And(HaveField("Revision", uint64(1)), HaveField("Profile", "turf-new")))
		})
	},
		Entry("withdrawn", func(text string) string { return strings.Replace(text, "name: turf-new", "name: turf-newer", 1) }, "unknown_profile"),
		Entry("revised", func(text string) string {
			return strings.Replace(text, "default_budget: 20s, max_budget: 60s, max_output", "default_budget: 1s, max_budget: 1s, max_output", 1)
		}, "budget_too_large"),
	)

	// Guards against work for an endpoint that was taken out of service while the request waited.
	It("does not bind a request to an endpoint taken out of service", func() {
		e := newEndpoint("e1", "turf", answering(wholeAnswer(200, "{}")))
		r := newRig(e)
		r.locked(func() { r.credit = refuseCredit(credit.ReasonStreams) })
		conn := r.begin(completion(false, 3*shortBudget))
		Eventually(r.askCount, eventLimit).Should(BeNumerically(">", 0))
		r.publish(strings.Replace(document, "region: viti-west}", "region: viti-west, out_of_service: true}", 1), e)
		r.awaitRevision()
		r.locked(func() { r.credit = func(int, peer.CreditRequest) *peer.CreditReply { return grant() } })
		a := readAnswer(bufio.NewReader(conn), "POST")
		Expect(a.error.Outcome).To(Equal(outcome.NotRun))
		Expect(e.seen()).To(BeZero())
	})
})

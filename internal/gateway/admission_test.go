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
	// Guards against a request that is admitted although the configuration does not allow it.
	DescribeTable("refuses", func(change func(*callerRequest), code string) {
		e := newEndpoint("e1", "turf", respondWith(completeResponse(200, "{}")))
		r := newRig(e)
		c := completion(false, shortBudget)
		change(&c)
		response := r.do(c)
		expectGatewayError(response, outcome.NotRun, outcome.StageAdmission, code)
		Expect(response.status).To(Equal(400))
		Expect(r.creditRequestCount()).To(BeZero())
		Expect(e.attemptCount()).To(BeZero())
	},
		Entry("an unknown profile", func(c *callerRequest) { c.profile = "turf-old" }, "unknown_profile"),
		Entry("a team that is not in the configuration", func(c *callerRequest) { c.team = "others" }, "unknown_team"),
		Entry("a budget above the profile's maximum", func(c *callerRequest) { c.budget = 61 * time.Second }, "budget_too_large"),
		Entry("more output than the profile allows", func(c *callerRequest) {
			c.body = strings.Replace(c.body, "{", `{"max_tokens":1000000,`, 1)
		}, "max_tokens_too_large"),
		Entry("a profile of another kind of service", func(c *callerRequest) { c.profile = "desk-any" }, "wrong_profile"),
	)

	// Guards against an engine that generates more tokens than are reserved for the output, because the request has no
	// max_tokens.
	DescribeTable("sets the profile's max_tokens in a request without a limit", func(body, want string) {
		Expect(string(gateway.WithMaxTokens([]byte(body), 64))).To(MatchJSON(want))
	},
		Entry("no limit", `{"prompt":"a"}`, `{"prompt":"a","max_tokens":64}`),
		Entry("leading space", ` { "prompt":"a{"}`, `{"prompt":"a{","max_tokens":64}`),
		Entry("null", `{"prompt":"a","max_tokens":null}`, `{"prompt":"a","max_tokens":64}`),
		Entry("the field's name inside the prompt", `{"prompt":"\"max_tokens\""}`, `{"prompt":"\"max_tokens\"","max_tokens":64}`),
	)

	// Guards against refusals that are missing in the log because the HTTP server sends them before the handler runs.
	DescribeTable("refuses and logs a request that cannot be received", func(text, code string) {
		r := newRig(newEndpoint("e1", "turf", respondWith(completeResponse(200, "{}"))))
		conn := r.dial()
		r.sent++
		_, err := io.WriteString(conn, text)
		Expect(err).NotTo(HaveOccurred())
		expectGatewayError(readResponse(bufio.NewReader(conn), "POST"), outcome.NotRun, outcome.StageAdmission, code)
		Expect(r.log.lines("answer")).To(ConsistOf(HaveKeyWithValue("code", code)))
	},
		Entry("malformed", "POST /v1/completions\r\n\r\n", "malformed_request"),
		Entry("two lengths", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "malformed_request"),
		Entry("too large", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n", "body_too_large"),
	)

	// Guards against a gateway that serves requests before it has received the configuration.
	It("refuses requests until the first view arrives", func() {
		r := &rig{controller: startController(), log: &logBuffer{}}
		r.start()
		response := r.do(completion(false, shortBudget))
		expectGatewayError(response, outcome.NotRun, outcome.StageAdmission, "no_current_view")
		Expect(response.header.Get("Retry-After")).To(Equal("2"))
		r.publish(document, newEndpoint("e1", "turf", respondWith(completeResponse(200, "{}"))))
		r.awaitRevision()
		Expect(r.do(completion(false, longBudget)).status).To(Equal(200))
		r.checkFinalReports()
	})

	// Guards against a gateway that serves with an old configuration while its controller is down, and against a gateway
	// that still refuses requests after the controller has returned.
	It("refuses requests while the view is too old because the controller is down", func() {
		r := newRig(newEndpoint("e1", "turf", respondWith(completeResponse(200, "{}"))))
		r.node.Close()
		Eventually(func() string { return r.do(completion(false, shortBudget)).error.Code }, eventTimeout).
			Should(Equal("no_current_view"))
		Expect(r.listen()).To(Succeed())
		Eventually(func() int { return r.do(completion(false, longBudget)).status }, eventTimeout).Should(Equal(200))
		// The final reports that were sent while the controller was closed are lost.
		r.withLock(func() { r.granted = nil })
	})

	// Guards against a graceful shutdown that refuses requests while the load balancer still sends them to this instance.
	It("continues in a graceful shutdown until the balancer's lag has passed", func() {
		r := newRigWithLag(time.Hour, newEndpoint("e1", "turf", respondWith(completeResponse(200, "{}"))))
		r.gateway.StartDrain("test")
		Expect(r.log.lines("drain_started")).To(HaveLen(1))
		Expect(r.do(completion(false, longBudget)).status).To(Equal(200))
		Expect(r.gateway.Drained()).NotTo(BeClosed())
	})

	// Guards against a graceful shutdown that truncates a running stream, or that admits requests after the balancer's lag.
	It("ends in a graceful shutdown after the balancer's lag, and running streams complete", func() {
		finish := make(chan struct{})
		e := newEndpoint("e1", "turf", func(a *attempt) {
			a.readRequest()
			_, _ = io.WriteString(a, streamHead+chunk("data: one\n\n"))
			<-finish
			_, _ = io.WriteString(a, chunk(doneEvent)+streamEnd)
		})
		r := newRig(e, newEndpoint("d1", "desk", respondWith(completeResponse(200, "{}"))))
		conn := r.begin(completion(true, longBudget))
		reader := bufio.NewReader(conn)
		Eventually(e.openAttemptCount, eventTimeout).Should(Equal(1))
		r.withLock(func() { r.draining = true })
		Eventually(func() []map[string]any { return r.log.lines("drain_started") }, eventTimeout).Should(HaveLen(1))
		Eventually(func() []map[string]any { return r.log.lines("drain_refusing") }, eventTimeout).Should(HaveLen(1))
		response := r.do(booking("", longBudget))
		expectGatewayError(response, outcome.NotRun, outcome.StageAdmission, "leaving")
		Expect(response.header.Get("Retry-After")).To(Equal("1"))
		Expect(r.gateway.Drained()).NotTo(BeClosed())
		close(finish)
		Expect(readResponse(reader, "POST").body).To(Equal("data: one\n\n" + doneEvent))
		_ = conn.Close()
		Eventually(r.gateway.Drained(), eventTimeout).Should(BeClosed())
	})

	// Guards against a graceful shutdown that ends the process while the last bytes of a response are still being sent.
	It("lets the shutdown complete only after the last response was received", func() {
		body := strings.Repeat("x", 3<<20)
		r := newRig(newEndpoint("d1", "desk", respondWith(completeResponse(200, body))))
		conn := r.begin(booking("", longBudget))
		Eventually(r.grantedFinalReports, eventTimeout).Should(HaveLen(1))
		r.gateway.StartDrain("test")
		Eventually(func() []map[string]any { return r.log.lines("drain_refusing") }, eventTimeout).Should(HaveLen(1))
		Expect(r.gateway.Drained()).NotTo(BeClosed())
		Expect(readResponse(bufio.NewReader(conn), "POST").body).To(Equal(body))
		_ = conn.Close()
		Eventually(r.gateway.Drained(), eventTimeout).Should(BeClosed())
	})

	// Guards against an admitted request that fails because a new revision removes or changes its profile.
	DescribeTable("keeps the revision of a request that waits for a credit", func(change func(string) string, code string) {
		e := newEndpoint("e1", "turf", respondWith(completeResponse(200, "{}")))
		r := newRig(e)
		free := false
		r.withLock(func() {
			r.credit = func(int, peer.CreditRequest) *peer.CreditReply {
				if free {
					return grantCredit()
				}
				return &peer.CreditReply{Reason: credit.ReasonStreams}
			}
		})
		conn := r.begin(completion(false, longBudget))
		Eventually(r.creditRequestCount, eventTimeout).Should(BeNumerically(">", 0))
		r.publish(change(document), e)
		r.awaitRevision()
		Expect(r.do(completion(false, longBudget)).error.Code).To(Equal(code))
		r.withLock(func() { free = true })
		Expect(readResponse(bufio.NewReader(conn), "POST").status).To(Equal(200))
		r.withLock(func() {
			Expect(r.creditRequests[len(r.creditRequests)-1]).
				To(And(HaveField("Revision", uint64(1)), HaveField("Profile", "turf-new")))
		})
	},
		Entry("profile removed", func(text string) string { return strings.Replace(text, "name: turf-new", "name: turf-newer", 1) },
			"unknown_profile"),
		Entry("maximum budget lowered", func(text string) string {
			return strings.Replace(text, "default_budget: 20s, max_budget: 60s, max_output",
				"default_budget: 1s, max_budget: 1s, max_output", 1)
		}, "budget_too_large"),
	)

	// Guards against a dispatch to an endpoint that was taken out of service while the request waited for a credit.
	It("does not dispatch a waiting request to an endpoint taken out of service", func() {
		e := newEndpoint("e1", "turf", respondWith(completeResponse(200, "{}")))
		r := newRig(e)
		r.withLock(func() { r.credit = refuseCredit(credit.ReasonStreams) })
		conn := r.begin(completion(false, 3*shortBudget))
		Eventually(r.creditRequestCount, eventTimeout).Should(BeNumerically(">", 0))
		r.publish(strings.Replace(document, "region: viti-west}", "region: viti-west, out_of_service: true}", 1), e)
		r.awaitRevision()
		r.withLock(func() { r.credit = func(int, peer.CreditRequest) *peer.CreditReply { return grantCredit() } })
		response := readResponse(bufio.NewReader(conn), "POST")
		Expect(response.error.Outcome).To(Equal(outcome.NotRun))
		Expect(e.attemptCount()).To(BeZero())
	})
})

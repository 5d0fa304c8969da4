package gateway_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/credit"
	"github.com/acacialift/acacialift/internal/peer"
)

var _ = Describe("a caller that leaves", func() {
	// Guards against an engine that continues a request without a caller, and against an endpoint that becomes cold because
	// a caller closed its connection.
	DescribeTable("frees the engine", func(script func(*attempt), await string) {
		e := newEndpoint("e1", "turf", script)
		r := newRig(e)
		conn := r.begin(completion(true, longBudget))
		if await != "" {
			reader := bufio.NewReader(conn)
			Eventually(func() string { line, _ := reader.ReadString('\n'); return line }, eventTimeout).
				Should(ContainSubstring(await))
		}
		Eventually(e.openAttemptCount, eventTimeout).Should(Equal(1))
		Expect(conn.Close()).To(Succeed())
		Eventually(e.openAttemptCount, eventTimeout).Should(BeZero())
		r.expectFinalState(peer.ReportCancelled)
		Eventually(func() []map[string]any { return r.log.lines("answer") }, eventTimeout).
			Should(ConsistOf(HaveKeyWithValue("code", "caller_left")))
		Expect(e.attemptCount()).To(Equal(1))
	},
		Entry("in the prefill", hangAfter(""), ""),
		Entry("after the head", hangAfter(streamHead), ""),
		Entry("in the decode", hangAfter(streamHead+chunk("data: one\n\n")), "data: one"),
		Entry("in the decode of a fast stream", trickle(streamHead, chunk("data: one\n\n")), "data: one"),
	)

	// Guards against a credit that is requested although the caller has closed its connection.
	It("ends the wait for a credit", func() {
		e := newEndpoint("e1", "turf", respondWith(completeResponse(200, "{}")))
		r := newRig(e)
		r.withLock(func() { r.credit = refuseCredit(credit.ReasonStreams) })
		conn := r.begin(completion(true, longBudget))
		Eventually(r.creditRequestCount, eventTimeout).Should(BeNumerically(">", 0))
		Expect(conn.Close()).To(Succeed())
		Eventually(func() []map[string]any { return r.log.lines("answer") }, eventTimeout).Should(ConsistOf(And(
			HaveKeyWithValue("code", "caller_left"), HaveKeyWithValue("outcome", "not_run"),
		)))
		Expect(e.attemptCount()).To(BeZero())
	})

	flood := func(written *atomic.Int64) func(*attempt) {
		return func(a *attempt) {
			a.readRequest()
			_, err := io.WriteString(a, streamHead)
			piece := chunk("data: " + strings.Repeat("x", 1<<15) + "\n\n")
			for err == nil {
				_, err = io.WriteString(a, piece)
				written.Add(int64(len(piece)))
			}
		}
	}

	// Guards against unbounded buffering for a slow caller, against a slow caller that blocks other requests, and against a
	// closed connection that is not detected while a write to it blocks.
	It("is detected although it does not read, and slows only its own stream", func() {
		var written atomic.Int64
		slow := newEndpoint("e1", "turf", flood(&written))
		other := newEndpoint("d1", "desk", respondWith(completeResponse(200, "{}")))
		r := newRig(slow, other)
		conn := r.begin(completion(true, longBudget))
		last := int64(-1)
		// Backpressure has stopped the endpoint when its count is the same in two consecutive polls.
		Eventually(func() bool {
			now := written.Load()
			stopped := now > 0 && now == last
			last = now
			return stopped
		}, eventTimeout, "200ms").Should(BeTrue())
		Expect(written.Load()).To(BeNumerically("<", 64<<20))
		Expect(r.do(booking("", longBudget)).status).To(Equal(200))
		Expect(conn.SetLinger(0)).To(Succeed())
		Expect(conn.Close()).To(Succeed())
		Eventually(slow.openAttemptCount, eventTimeout/2).Should(BeZero())
	})

	// Guards against a claim that ends with an unknown outcome although the endpoint sent a complete response.
	It("does not make the outcome of its key unknown after the endpoint has responded", func() {
		gone := make(chan struct{})
		d := newEndpoint("d1", "desk", func(a *attempt) {
			a.readRequest()
			_, _ = io.WriteString(a, completeResponse(201, strings.Repeat("x", 4<<20)))
			<-gone
		})
		r := newRig(d)
		conn := r.begin(booking(newKey(), longBudget))
		Eventually(func() error { _, err := conn.Read(make([]byte, 1)); return err }, eventTimeout).Should(Succeed())
		close(gone)
		Expect(conn.SetLinger(0)).To(Succeed())
		Expect(net.Conn(conn).Close()).To(Succeed())
		Eventually(func() []peer.KeyEnd { return r.keyEnds() }, eventTimeout).Should(HaveLen(1))
		Expect(r.keyEnds()[0].Status).To(Equal(201))
		Expect(r.keyEnds()[0].Outcome).To(BeEmpty())
		r.expectFinalState(peer.ReportDone)
	})
})

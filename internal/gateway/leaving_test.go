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
	// Guards against an engine that works for nobody, and against one that turns cold because a caller left.
	DescribeTable("frees the engine", func(script func(*arrival), await string) {
		e := newEndpoint("e1", "turf", script)
		r := newRig(e)
		conn := r.begin(completion(true, longBudget))
		if await != "" {
			reader := bufio.NewReader(conn)
			Eventually(func() string { line, _ := reader.ReadString('\n'); return line }, eventLimit).Should(ContainSubstring(await))
		}
		Eventually(e.running, eventLimit).Should(Equal(1))
		Expect(conn.Close()).To(Succeed())
		Eventually(e.running, eventLimit).Should(BeZero())
		r.expectAllEnded(peer.ReportCancelled)
		Eventually(func() []map[string]any { return r.log.lines("answer") }, eventLimit).
			Should(ConsistOf(HaveKeyWithValue("code", "caller_left")))
		Expect(e.seen()).To(Equal(1))
	},
		Entry("in the prefill", silent(""), ""),
		Entry("after the head", silent(streamHead), ""),
		Entry("in the decode", silent(streamHead+chunk("data: one\n\n")), "data: one"),
		Entry("in the decode of a fast stream", trickle(streamHead, chunk("data: one\n\n")), "data: one"),
	)

	// Guards against a credit for a caller that is gone.
	It("ends the wait for a credit", func() {
		e := newEndpoint("e1", "turf", answering(wholeAnswer(200, "{}")))
		r := newRig(e)
		r.locked(func() { r.credit = refuseCredit(credit.ReasonStreams) })
		conn := r.begin(completion(true, longBudget))
		Eventually(r.askCount, eventLimit).Should(BeNumerically(">", 0))
		Expect(conn.Close()).To(Succeed())
		Eventually(func() []map[string]any { return r.log.lines("answer") }, eventLimit).Should(ConsistOf(And(
			HaveKeyWithValue("code", "caller_left"), HaveKeyWithValue("outcome", "not_run"),
		)))
		Expect(e.seen()).To(BeZero())
	})

	flood := func(taken *atomic.Int64) func(*arrival) {
		return func(a *arrival) {
			a.request()
			_, err := io.WriteString(a, streamHead)
			piece := chunk("data: " + strings.Repeat("x", 1<<15) + "\n\n")
			for err == nil {
				_, err = io.WriteString(a, piece)
				taken.Add(int64(len(piece)))
			}
		}
	}

	// Guards against a buffer that grows behind a slow caller, against a slow caller that stops others, and against a
	// caller that leaves unnoticed while a write to it blocks.
	It("is noticed while its socket is not read, and slows only its own stream", func() {
		var taken atomic.Int64
		slow := newEndpoint("e1", "turf", flood(&taken))
		other := newEndpoint("d1", "desk", answering(wholeAnswer(200, "{}")))
		r := newRig(slow, other)
		conn := r.begin(completion(true, longBudget))
		last := int64(-1)
		// The endpoint is stopped when its count no longer rises between two looks.
		Eventually(func() bool {
			now := taken.Load()
			stopped := now > 0 && now == last
			last = now
			return stopped
		}, eventLimit, "200ms").Should(BeTrue())
		Expect(taken.Load()).To(BeNumerically("<", 64<<20))
		Expect(r.do(booking("", longBudget)).status).To(Equal(200))
		Expect(conn.SetLinger(0)).To(Succeed())
		Expect(conn.Close()).To(Succeed())
		Eventually(slow.running, eventLimit/2).Should(BeZero())
	})

	// Guards against a claim that ends as unknown although the endpoint answered the request whole.
	It("after the endpoint answered does not make the key's end unknown", func() {
		gone := make(chan struct{})
		d := newEndpoint("d1", "desk", func(a *arrival) {
			a.request()
			_, _ = io.WriteString(a, wholeAnswer(201, strings.Repeat("x", 4<<20)))
			<-gone
		})
		r := newRig(d)
		conn := r.begin(booking(newKey(), longBudget))
		Eventually(func() error { _, err := conn.Read(make([]byte, 1)); return err }, eventLimit).Should(Succeed())
		close(gone)
		Expect(conn.SetLinger(0)).To(Succeed())
		Expect(net.Conn(conn).Close()).To(Succeed())
		Eventually(func() []peer.KeyEnd { return r.keyEnds() }, eventLimit).Should(HaveLen(1))
		Expect(r.keyEnds()[0].Status).To(Equal(201))
		Expect(r.keyEnds()[0].Outcome).To(BeEmpty())
		r.expectAllEnded(peer.ReportDone)
	})
})

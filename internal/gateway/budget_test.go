package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/credit"
	"github.com/acacialift/acacialift/internal/gateway"
	"github.com/acacialift/acacialift/internal/outcome"
	"github.com/acacialift/acacialift/internal/peer"
)

// trickle sends a byte each 20 ms until the connection ends.
func trickle(head, unit string) func(*arrival) {
	return func(a *arrival) {
		a.request()
		_, err := io.WriteString(a, head)
		for err == nil {
			time.Sleep(20 * time.Millisecond)
			_, err = io.WriteString(a, unit)
		}
	}
}

// silent answers with the text and nothing after it until the gateway closes the connection.
func silent(text string) func(*arrival) {
	return func(a *arrival) {
		a.request()
		_, _ = io.WriteString(a, text)
		a.awaitClose()
	}
}

var _ = Describe("the time budget", func() {
	// Guards against a request that waits for ever, and against a limit on idleness that a slow endpoint evades.
	DescribeTable("ends a request whose endpoint does not end", func(c call, stage outcome.Stage, script func(*arrival)) {
		service := "turf"
		if c.profile != "turf-new" {
			service = "desk"
		}
		e := newEndpoint("e1", service, script)
		r := newRig(e)
		r.gateway.SetSilentAfter(shortBudget / 2)
		a := r.do(c)
		expectAnswer(a, outcome.Unknown, stage, "deadline_exceeded")
		Expect(a.body).NotTo(ContainSubstring("[DONE]"))
		Eventually(e.running, eventLimit).Should(BeZero())
		Expect(e.seen()).To(Equal(1))
		r.expectAllEnded(peer.ReportFailed)
	},
		Entry("silent before the head", completion(true, reachBudget), outcome.StagePrefill, silent("")),
		Entry("silent after the head", completion(true, reachBudget), outcome.StagePrefill, silent(streamHead)),
		Entry("silent after an event", completion(true, reachBudget), outcome.StageDecode, silent(streamHead+chunk("data: one\n\n"))),
		Entry("silent in a whole answer", completion(false, reachBudget), outcome.StageDecode, silent(wholeAnswer(200, "{}")[:75])),
		Entry("silent plain service", booking("", reachBudget), outcome.StagePrefill, silent("")),
		Entry("byte by byte in the head", booking("", reachBudget), outcome.StagePrefill, trickle("HTTP/1.1 200 OK\r\nX-Slow: ", "x")),
		Entry("byte by byte in the body", booking("", reachBudget), outcome.StageDecode,
			trickle("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", "x")),
		Entry("event by event", completion(true, reachBudget), outcome.StageDecode, trickle(streamHead, chunk("data: x\n\n"))),
	)

	// Guards against long prompts that always come after short ones and run out of their budget.
	DescribeTable("raises the engine priority of a request that has waited", func(
		class peer.LengthClass, waited time.Duration, want int,
	) {
		Expect(gateway.Priority(class, waited, 20*time.Second)).To(Equal(want))
	},
		Entry("short", peer.ClassShort, time.Duration(0), 2),
		Entry("long", peer.ClassLong, 4*time.Second, 0),
		Entry("long after a quarter", peer.ClassLong, 5*time.Second, 1),
		Entry("long after half", peer.ClassLong, 10*time.Second, 2),
		Entry("medium after half", peer.ClassMedium, 10*time.Second, 3),
	)

	// Guards against callers with tiny budgets that return healthy endpoints to the cold step.
	It("says nothing about an endpoint if it ends soon after the hand-over", func() {
		r := newRig(newEndpoint("e1", "turf", silent("")))
		expectAnswer(r.do(completion(true, shortBudget)), outcome.Unknown, outcome.StagePrefill, "deadline_exceeded")
		r.expectAllEnded(peer.ReportCancelled)
	})

	// Guards against a request that is held after its time, and against an answer without advice.
	DescribeTable("ends the wait for a credit", func(reason string, budget time.Duration, code string) {
		e := newEndpoint("e1", "turf", answering(wholeAnswer(200, "{}")))
		r := newRig(e)
		r.locked(func() { r.credit = refuseCredit(reason) })
		a := r.do(completion(false, budget))
		expectAnswer(a, outcome.NotRun, outcome.StageCreditWait, code)
		Expect(a.header.Get("Retry-After")).To(Equal("1"))
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		Expect(e.seen()).To(BeZero())
	},
		Entry("full until the deadline", credit.ReasonStreams, shortBudget, credit.ReasonStreams),
		// With this budget the test would time out if the answer were held until the deadline.
		Entry("refused for the budget", credit.ReasonBudget, 59*time.Second, credit.ReasonBudget),
	)

	// Guards against a wait for one owner that outlasts the request, and against a credit that is never given back.
	It("ends the wait for an owner that does not answer", func() {
		e := newEndpoint("e1", "turf", answering(wholeAnswer(200, "{}")))
		r := newRig(e)
		r.locked(func() { r.credit = func(int, peer.CreditRequest) *peer.CreditReply { return nil } })
		expectAnswer(r.do(completion(false, 700*time.Millisecond)), outcome.NotRun, outcome.StageCreditWait, "owner_unreachable")
		Eventually(func(g Gomega) {
			finals := r.finals()
			r.locked(func() {
				for _, ask := range r.asks {
					g.Expect(finals).To(HaveKeyWithValue(ask.RequestID, []peer.ReportState{peer.ReportUnused}))
				}
			})
		}, eventLimit).Should(Succeed())
	})

	// Guards against a request that fails although the owner answers in time.
	It("leaves time for an owner that becomes reachable", func() {
		r := newRig(newEndpoint("e1", "turf", answering(wholeAnswer(200, "{}"))))
		r.locked(func() {
			r.credit = func(n int, _ peer.CreditRequest) *peer.CreditReply {
				if n == 1 {
					return nil
				}
				return grant()
			}
		})
		Expect(r.do(completion(false, longBudget)).status).To(Equal(200))
	})

	// Guards against a request that waits for its own report to an owner whose address does not answer: its credit, which
	// was checked before, expired meanwhile.
	It("is not spent on reports to an owner that cannot be reached", func() {
		unreachable := fullListener()
		r := newRig(newEndpoint("e1", "turf", answering(wholeAnswer(200, "{}"))))
		r.locked(func() {
			r.credit = func(int, peer.CreditRequest) *peer.CreditReply {
				Expect(r.gateway.SetOwner("e1", unreachable)).To(Succeed())
				return grant()
			}
		})
		// The attempt to reach the owner takes longer than this budget.
		Expect(r.do(completion(false, 900*time.Millisecond)).status).To(Equal(200))
		r.locked(func() { r.granted = nil })
	})

	// Guards against a whole answer that its caller keeps open by not reading, and against a key that ends as unknown
	// although the endpoint answered.
	It("ends a whole answer whose caller does not read", func() {
		r := newRig(newEndpoint("d1", "desk", answering(wholeAnswer(201, strings.Repeat("x", 4<<20)))))
		conn := r.dial()
		Expect(conn.SetReadBuffer(4 << 10)).To(Succeed())
		// The answers to pipelined requests fill the buffers of the connection.
		for range 3 {
			r.sent++
			_, err := io.WriteString(conn, booking(newKey(), reachBudget).encode(false))
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(func() []map[string]any { return r.log.lines("answer") }, eventLimit/2).
			Should(ContainElement(HaveKeyWithValue("code", "deadline_exceeded")))
		r.expectAllEnded(peer.ReportDone)
		r.sent = len(r.granted)
		Eventually(r.keyEnds, eventLimit).Should(HaveLen(r.sent))
		Expect(r.keyEnds()).To(HaveEach(And(HaveField("Status", 201), HaveField("Outcome", ""))))
	})

	// Guards against a request that its caller keeps open by not reading.
	It("ends a stream whose caller does not read", func() {
		e := newEndpoint("e1", "turf", func(a *arrival) {
			a.request()
			_, err := io.WriteString(a, streamHead)
			piece := chunk("data: " + strings.Repeat("x", 1<<15) + "\n\n")
			for err == nil {
				_, err = io.WriteString(a, piece)
			}
		})
		r := newRig(e)
		r.begin(completion(true, time.Second))
		// The server's own limit on a blocked write is as long as eventLimit.
		Eventually(func() int { return len(r.log.lines("answer")) }, eventLimit/2).Should(Equal(1))
		Eventually(e.running, eventLimit).Should(BeZero())
	})
})

// fullListener returns an address where connections neither stand nor fail, because the queue of the listener is full.
func fullListener() string {
	GinkgoHelper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = syscall.Close(fd) })
	Expect(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(Succeed())
	Expect(syscall.Listen(fd, 0)).To(Succeed())
	name, err := syscall.Getsockname(fd)
	Expect(err).NotTo(HaveOccurred())
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for {
		conn, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return address
		}
		DeferCleanup(func() { _ = conn.Close() })
	}
}

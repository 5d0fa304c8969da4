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

// trickle sends the head, and then the unit every 20 ms until the connection ends.
func trickle(head, unit string) func(*attempt) {
	return func(a *attempt) {
		a.readRequest()
		_, err := io.WriteString(a, head)
		for err == nil {
			time.Sleep(20 * time.Millisecond)
			_, err = io.WriteString(a, unit)
		}
	}
}

// hangAfter sends the text and keeps the connection open until the gateway closes it.
func hangAfter(text string) func(*attempt) {
	return func(a *attempt) {
		a.readRequest()
		_, _ = io.WriteString(a, text)
		a.awaitClose()
	}
}

var _ = Describe("the time budget", func() {
	// Guards against a request that never ends because its endpoint hangs, or because the endpoint sends bytes too often for
	// an idle timeout.
	DescribeTable("ends a request whose endpoint does not end it", func(
		c callerRequest, stage outcome.Stage, script func(*attempt),
	) {
		service := "turf"
		if c.profile != "turf-new" {
			service = "desk"
		}
		e := newEndpoint("e1", service, script)
		r := newRig(e)
		r.gateway.SetUnresponsiveAfter(shortBudget / 2)
		response := r.do(c)
		expectGatewayError(response, outcome.Unknown, stage, "deadline_exceeded")
		Expect(response.body).NotTo(ContainSubstring("[DONE]"))
		Eventually(e.openAttemptCount, eventTimeout).Should(BeZero())
		Expect(e.attemptCount()).To(Equal(1))
		r.expectFinalState(peer.ReportFailed)
	},
		Entry("hangs before the head", completion(true, reachBudget), outcome.StagePrefill, hangAfter("")),
		Entry("hangs after the head", completion(true, reachBudget), outcome.StagePrefill, hangAfter(streamHead)),
		Entry("hangs after an event", completion(true, reachBudget), outcome.StageDecode,
			hangAfter(streamHead+chunk("data: one\n\n"))),
		Entry("hangs in a response that is not streamed", completion(false, reachBudget), outcome.StageDecode,
			hangAfter(completeResponse(200, "{}")[:75])),
		Entry("plain service hangs", booking("", reachBudget), outcome.StagePrefill, hangAfter("")),
		Entry("head byte by byte", booking("", reachBudget), outcome.StagePrefill, trickle("HTTP/1.1 200 OK\r\nX-Slow: ", "x")),
		Entry("body byte by byte", booking("", reachBudget), outcome.StageDecode,
			trickle("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", "x")),
		Entry("stream without end", completion(true, reachBudget), outcome.StageDecode, trickle(streamHead, chunk("data: x\n\n"))),
	)

	// Guards against long prompts that exceed their budget because engines always prefer short ones.
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

	// Guards against healthy endpoints that become cold because callers send requests with very short budgets.
	It("is not a failure of the endpoint if it ends shortly after the dispatch", func() {
		r := newRig(newEndpoint("e1", "turf", hangAfter("")))
		expectGatewayError(r.do(completion(true, shortBudget)), outcome.Unknown, outcome.StagePrefill, "deadline_exceeded")
		r.expectFinalState(peer.ReportCancelled)
	})

	// Guards against a request that waits for a credit although it can no longer be served, and against a refusal without
	// Retry-After.
	DescribeTable("ends the wait for a credit", func(reason string, budget time.Duration, code string) {
		e := newEndpoint("e1", "turf", respondWith(completeResponse(200, "{}")))
		r := newRig(e)
		r.withLock(func() { r.credit = refuseCredit(reason) })
		response := r.do(completion(false, budget))
		expectGatewayError(response, outcome.NotRun, outcome.StageCreditWait, code)
		Expect(response.header.Get("Retry-After")).To(Equal("1"))
		Expect(response.status).To(Equal(http.StatusServiceUnavailable))
		Expect(e.attemptCount()).To(BeZero())
	},
		Entry("endpoint full until the deadline", credit.ReasonStreams, shortBudget, credit.ReasonStreams),
		// With this budget the test would time out if the gateway responded only at the deadline.
		Entry("refused because of the budget", credit.ReasonBudget, 59*time.Second, credit.ReasonBudget),
	)

	// Guards against a wait for one owner that lasts longer than the request, and against a credit that is never released
	// because its grant did not arrive.
	It("ends the wait for an owner that does not reply", func() {
		e := newEndpoint("e1", "turf", respondWith(completeResponse(200, "{}")))
		r := newRig(e)
		r.withLock(func() { r.credit = func(int, peer.CreditRequest) *peer.CreditReply { return nil } })
		expectGatewayError(
			r.do(completion(false, 700*time.Millisecond)), outcome.NotRun, outcome.StageCreditWait, "owner_unreachable")
		Eventually(func(g Gomega) {
			reports := r.finalReports()
			r.withLock(func() {
				for _, request := range r.creditRequests {
					g.Expect(reports).To(HaveKeyWithValue(request.RequestID, []peer.ReportState{peer.ReportUnused}))
				}
			})
		}, eventTimeout).Should(Succeed())
	})

	// Guards against a request that fails although a retry reaches the owner within the budget.
	It("leaves time for an owner that becomes reachable", func() {
		r := newRig(newEndpoint("e1", "turf", respondWith(completeResponse(200, "{}"))))
		r.withLock(func() {
			r.credit = func(n int, _ peer.CreditRequest) *peer.CreditReply {
				if n == 1 {
					return nil
				}
				return grantCredit()
			}
		})
		Expect(r.do(completion(false, longBudget)).status).To(Equal(200))
	})

	// Guards against a request that waits until its report to an unreachable owner is sent: meanwhile the credit would
	// expire, although it was checked before.
	It("is not spent on reports to an owner that cannot be reached", func() {
		unreachable := fullListener()
		r := newRig(newEndpoint("e1", "turf", respondWith(completeResponse(200, "{}"))))
		r.withLock(func() {
			r.credit = func(int, peer.CreditRequest) *peer.CreditReply {
				Expect(r.gateway.SetOwner("e1", unreachable)).To(Succeed())
				return grantCredit()
			}
		})
		// The connection attempt to the owner takes longer than this budget.
		Expect(r.do(completion(false, 900*time.Millisecond)).status).To(Equal(200))
		r.withLock(func() { r.granted = nil })
	})

	// Guards against a complete response that stays open because its caller does not read it, and against a key that ends
	// with an unknown outcome although the endpoint responded.
	It("ends a complete response whose caller does not read", func() {
		r := newRig(newEndpoint("d1", "desk", respondWith(completeResponse(201, strings.Repeat("x", 4<<20)))))
		conn := r.dial()
		Expect(conn.SetReadBuffer(4 << 10)).To(Succeed())
		// The responses to pipelined requests fill the buffers of the connection.
		for range 3 {
			r.sent++
			_, err := io.WriteString(conn, booking(newKey(), reachBudget).encode(false))
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(func() []map[string]any { return r.log.lines("answer") }, eventTimeout/2).
			Should(ContainElement(HaveKeyWithValue("code", "deadline_exceeded")))
		r.expectFinalState(peer.ReportDone)
		r.sent = len(r.granted)
		Eventually(r.keyEnds, eventTimeout).Should(HaveLen(r.sent))
		Expect(r.keyEnds()).To(HaveEach(And(HaveField("Status", 201), HaveField("Outcome", ""))))
	})

	// Guards against a request that stays open because its caller does not read the stream.
	It("ends a stream whose caller does not read", func() {
		e := newEndpoint("e1", "turf", func(a *attempt) {
			a.readRequest()
			_, err := io.WriteString(a, streamHead)
			piece := chunk("data: " + strings.Repeat("x", 1<<15) + "\n\n")
			for err == nil {
				_, err = io.WriteString(a, piece)
			}
		})
		r := newRig(e)
		r.begin(completion(true, time.Second))
		// The server's own limit on a blocked write is as long as eventTimeout.
		Eventually(func() int { return len(r.log.lines("answer")) }, eventTimeout/2).Should(Equal(1))
		Eventually(e.openAttemptCount, eventTimeout).Should(BeZero())
	})
})

// fullListener returns an address at which connection attempts hang, because the listener's queue is full.
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

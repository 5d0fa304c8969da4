package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/outcome"
	"github.com/acacialift/acacialift/internal/peer"
)

const (
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	streamEnd  = "0\r\n\r\n"
	doneEvent  = "data: [DONE]\n\n"
)

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

var _ = Describe("the response of an endpoint", func() {
	// Guards against a truncated stream that looks complete to the caller. The engine's connection is closed after each
	// possible number of bytes.
	It("has no terminal event if it is a stream truncated at any byte", func() {
		complete := streamHead + chunk("data: one\n\n") + chunk("data: two\n\n") + chunk(doneEvent) + streamEnd
		var truncateAt int
		var mu sync.Mutex
		tried := make(map[string]bool)
		e := newEndpoint("e1", "turf", func(a *attempt) {
			request, _ := a.readRequest()
			id := strings.Join(strings.Split(request.Header.Get("X-Request-Id"), ":")[:3], ":")
			mu.Lock()
			retried := tried[id]
			tried[id] = true
			length := truncateAt
			mu.Unlock()
			if retried {
				// The gateway may retry the request as long as it has sent nothing to the caller.
				length = len(complete)
			}
			_, _ = io.WriteString(a, complete[:length])
		})
		r := newRig(e)
		first := strings.Index(complete, "data: one") + 1
		for length := range len(complete) {
			mu.Lock()
			truncateAt = length
			mu.Unlock()
			response := r.do(completion(true, longBudget))
			if length < first+len("data: ") {
				// The response is that of the second attempt if nothing of the first attempt was sent to the caller.
				if !response.truncated && response.error.Code == "" {
					Expect(response.body).To(Equal("data: one\n\ndata: two\n\n"+doneEvent), "truncated at byte %d", length)
					continue
				}
			}
			Expect(response.body).NotTo(ContainSubstring("[DONE]"), "truncated at byte %d", length)
			Expect(response.truncated || response.error.Outcome == outcome.Unknown).
				To(BeTrue(), "truncated at byte %d: %+v", length, response)
		}
	})

	// Guards against a stream that is treated as complete because its HTTP response is, although the engine ended it early.
	DescribeTable("has failed if it is a stream without the terminal event", func(events string) {
		r := newRig(newEndpoint("e1", "turf", respondWith(streamHead+chunk(events)+streamEnd)))
		response := r.do(completion(true, longBudget))
		expectGatewayError(response, outcome.Failed, outcome.StageDecode, "endpoint_failed")
		Expect(response.body).NotTo(HaveSuffix(doneEvent))
		r.expectFinalState(peer.ReportFailed)
	},
		Entry("after an event", "data: one\n\n"),
		Entry("with the terminal event's text inside another event", "data: one\n\ndata: x data: [DONE]\n\n"),
		Entry("with an error event", "event: error\ndata: {}\n\n"),
		Entry("truncated inside the terminal event", "data: one\n\ndata: [DO"),
	)

	// Guards against a stream that is changed by the search for the terminal event.
	DescribeTable("arrives unchanged if it is a complete stream", func(parts ...string) {
		text := streamHead
		for _, part := range parts {
			text += chunk(part)
		}
		r := newRig(newEndpoint("e1", "turf", respondWith(text+streamEnd)))
		response := r.do(completion(true, longBudget))
		Expect(response.truncated).To(BeFalse())
		Expect(response.body).To(Equal(strings.Join(parts, "")))
		r.expectFinalState(peer.ReportDone)
	},
		Entry("one event in a chunk", "data: one\n\n", doneEvent),
		Entry("events split over chunks", "d", "ata: o", "ne\n", "\n", "data: dat", "\n\ndata:", " [DON", "E]", "\n", "\n"),
		Entry("with CR LF", "data: one\r\n\r\ndata: [DONE]\r\n\r\n"),
		Entry("the terminal event only", doneEvent),
		Entry("with events similar to the terminal event", "data: [DONE]x\n\n", "data: d\n", "data: [D\n\n", doneEvent),
	)

	// Guards against a plain service's stream that is treated as truncated because it has no terminal event.
	It("needs no terminal event if it is a plain service's stream", func() {
		r := newRig(newEndpoint("d1", "desk", respondWith(streamHead+chunk("data: one\n\n")+streamEnd)))
		response := r.do(booking("", longBudget))
		Expect(response.body).To(Equal("data: one\n\n"))
		Expect(response.truncated).To(BeFalse())
		r.expectFinalState(peer.ReportDone)
	})

	// Guards against a truncated response that the caller receives as a complete one.
	It("is not forwarded if it is not streamed and is truncated at any byte", func() {
		complete := completeResponse(200, `{"text":"all of it"}`)
		truncateAt := make(chan int, 1)
		d := newEndpoint("d1", "desk", func(a *attempt) {
			a.readRequest()
			_, _ = io.WriteString(a, complete[:<-truncateAt])
		})
		r := newRig(d)
		for length := range len(complete) {
			truncateAt <- length
			response := r.do(booking("", longBudget))
			Expect(response.status).To(Equal(504), "truncated at byte %d", length)
			Expect(response.error.Outcome).To(Equal(outcome.Unknown), "truncated at byte %d", length)
		}
		truncateAt <- len(complete)
		Expect(r.do(booking("", longBudget)).body).To(Equal(`{"text":"all of it"}`))
	})

	// Guards against an error response of an endpoint that is replaced or retried, or that looks like the gateway's own.
	DescribeTable("is forwarded without a retry if it is an error", func(status int, state peer.ReportState) {
		e := newEndpoint("e1", "turf", respondWith(completeResponse(status, `{"error":"out of memory"}`)))
		r := newRig(e)
		response := r.do(completion(false, longBudget))
		Expect(response.status).To(Equal(status))
		Expect(response.body).To(Equal(`{"error":"out of memory"}`))
		Expect(response.header.Get(outcome.HeaderName)).To(BeEmpty())
		Expect(e.attemptCount()).To(Equal(1))
		r.expectFinalState(state)
	},
		Entry("500", 500, peer.ReportFailed),
		Entry("400", 400, peer.ReportDone),
		Entry("409 without the header of a refusal", 409, peer.ReportDone),
	)

	// Guards against a Content-Length that is replaced by the length of the empty body.
	It("keeps its Content-Length if the request is a HEAD request", func() {
		r := newRig(newEndpoint("d1", "desk", respondWith("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")))
		response := r.do(callerRequest{method: "HEAD", path: "/services/desk/visit", profile: "desk-once", budget: longBudget})
		Expect(response.status).To(Equal(200))
		Expect(response.header.Get("Content-Length")).To(Equal("5"))
	})

	// Guards against a caller that takes an outcome header from the endpoint for the gateway's.
	It("does not pass an outcome header to the caller", func() {
		r := newRig(newEndpoint("d1", "desk",
			respondWith("HTTP/1.1 200 OK\r\nX-Acacia-Outcome: not_run\r\nContent-Length: 0\r\n\r\n")))
		Expect(r.do(booking("", longBudget)).header.Get(outcome.HeaderName)).To(BeEmpty())
	})

	// Guards against a retry of a request that failed only because the gateway's buffer is too small for the response.
	It("causes no retry if it is too large", func() {
		e := newEndpoint("e1", "turf", respondWith(completeResponse(200, strings.Repeat("x", 5<<20))))
		response := newRig(e).do(completion(false, longBudget))
		expectGatewayError(response, outcome.Unknown, outcome.StageDecode, "answer_too_large")
		Expect(e.attemptCount()).To(Equal(1))
	})

	echo := func(a *attempt) {
		_, body := a.readRequest()
		_, _ = io.WriteString(a, completeResponse(200, "answer to "+body))
	}

	// Guards against a response that is sent to another caller.
	It("reaches its own caller while requests run concurrently", func() {
		r := newRig(newEndpoint("d1", "desk", echo), newEndpoint("d2", "desk", echo))
		var wait sync.WaitGroup
		for i := range 20 {
			c := booking("", longBudget)
			c.body = fmt.Sprintf("visit %d", i)
			conn := r.begin(c)
			wait.Add(1)
			go func() {
				defer GinkgoRecover()
				defer wait.Done()
				Expect(readResponse(bufio.NewReader(conn), c.method).body).To(Equal("answer to " + c.body))
			}()
		}
		wait.Wait()
	})

	// Guards against responses to pipelined requests in the wrong order.
	It("keeps the order of pipelined requests", func() {
		r := newRig(newEndpoint("d1", "desk", echo))
		conn := r.dial()
		for i := range 5 {
			c := booking("", longBudget)
			c.body = fmt.Sprintf("visit %d", i)
			r.sent++
			_, err := io.WriteString(conn, c.encode(false))
			Expect(err).NotTo(HaveOccurred())
		}
		reader := bufio.NewReader(conn)
		for i := range 5 {
			Expect(readResponse(reader, "POST").body).To(Equal(fmt.Sprintf("answer to visit %d", i)))
		}
	})
})

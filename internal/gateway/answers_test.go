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

var _ = Describe("the answer of an endpoint", func() {
	// Guards against a cut stream that looks whole, at every place where an engine can die.
	It("that is a stream cut at any byte has no terminal event", func() {
		whole := streamHead + chunk("data: one\n\n") + chunk("data: two\n\n") + chunk(doneEvent) + streamEnd
		var cut int
		var mu sync.Mutex
		tried := make(map[string]bool)
		e := newEndpoint("e1", "turf", func(a *arrival) {
			request, _ := a.request()
			id := strings.Join(strings.Split(request.Header.Get("X-Request-Id"), ":")[:3], ":")
			mu.Lock()
			again := tried[id]
			tried[id] = true
			length := cut
			mu.Unlock()
			if again {
				// The request may be repeated while nothing went to the caller.
				length = len(whole)
			}
			_, _ = io.WriteString(a, whole[:length])
		})
		r := newRig(e)
		first := strings.Index(whole, "data: one") + 1
		for length := range len(whole) {
			mu.Lock()
			cut = length
			mu.Unlock()
			a := r.do(completion(true, longBudget))
			if length < first+len("data: ") {
				// The answer is that of the second attempt, unless a first byte went out before.
				if !a.cut && a.error.Code == "" {
					Expect(a.body).To(Equal("data: one\n\ndata: two\n\n"+doneEvent), "cut at byte %d", length)
					continue
				}
			}
			Expect(a.body).NotTo(ContainSubstring("[DONE]"), "cut at byte %d", length)
			Expect(a.cut || a.error.Outcome == outcome.Unknown).To(BeTrue(), "cut at byte %d: %+v", length, a)
		}
	})

	// Guards against an engine that ends its stream early in a whole HTTP answer.
	DescribeTable("that is a stream without its terminal event has failed", func(events string) {
		r := newRig(newEndpoint("e1", "turf", answering(streamHead+chunk(events)+streamEnd)))
		a := r.do(completion(true, longBudget))
		expectAnswer(a, outcome.Failed, outcome.StageDecode, "endpoint_failed")
		Expect(a.body).NotTo(HaveSuffix(doneEvent))
		r.expectAllEnded(peer.ReportFailed)
	},
		Entry("after an event", "data: one\n\n"),
		Entry("with the event's text inside another event", "data: one\n\ndata: x data: [DONE]\n\n"),
		Entry("with an error event", "event: error\ndata: {}\n\n"),
		Entry("cut inside the terminal event", "data: one\n\ndata: [DO"),
	)

	// Guards against a stream that is changed by the search for its terminal event.
	DescribeTable("that is a whole stream arrives unchanged", func(parts ...string) {
		text := streamHead
		for _, part := range parts {
			text += chunk(part)
		}
		r := newRig(newEndpoint("e1", "turf", answering(text+streamEnd)))
		a := r.do(completion(true, longBudget))
		Expect(a.cut).To(BeFalse())
		Expect(a.body).To(Equal(strings.Join(parts, "")))
		r.expectAllEnded(peer.ReportDone)
	},
		Entry("in events", "data: one\n\n", doneEvent),
		Entry("in bytes", "d", "ata: o", "ne\n", "\n", "data: dat", "\n\ndata:", " [DON", "E]", "\n", "\n"),
		Entry("with CR LF", "data: one\r\n\r\ndata: [DONE]\r\n\r\n"),
		Entry("that is empty", doneEvent),
		Entry("with look-alikes", "data: [DONE]x\n\n", "data: d\n", "data: [D\n\n", doneEvent),
	)

	// Guards against a plain service's events that are held to the rules of an engine's stream.
	It("that is a plain service's stream needs no terminal event", func() {
		r := newRig(newEndpoint("d1", "desk", answering(streamHead+chunk("data: one\n\n")+streamEnd)))
		a := r.do(booking("", longBudget))
		Expect(a.body).To(Equal("data: one\n\n"))
		Expect(a.cut).To(BeFalse())
		r.expectAllEnded(peer.ReportDone)
	})

	// Guards against a cut answer that arrives as a whole one.
	It("that is not streamed and cut at any byte is not passed on", func() {
		whole := wholeAnswer(200, `{"text":"all of it"}`)
		cut := make(chan int, 1)
		d := newEndpoint("d1", "desk", func(a *arrival) {
			a.request()
			_, _ = io.WriteString(a, whole[:<-cut])
		})
		r := newRig(d)
		for length := range len(whole) {
			cut <- length
			a := r.do(booking("", longBudget))
			Expect(a.status).To(Equal(504), "cut at byte %d", length)
			Expect(a.error.Outcome).To(Equal(outcome.Unknown), "cut at byte %d", length)
		}
		cut <- len(whole)
		Expect(r.do(booking("", longBudget)).body).To(Equal(`{"text":"all of it"}`))
	})

	// Guards against an endpoint's own error that is replaced, retried, or taken for the gateway's.
	DescribeTable("that reports an error is passed on once", func(status int, state peer.ReportState) {
		e := newEndpoint("e1", "turf", answering(wholeAnswer(status, `{"error":"out of memory"}`)))
		r := newRig(e)
		a := r.do(completion(false, longBudget))
		Expect(a.status).To(Equal(status))
		Expect(a.body).To(Equal(`{"error":"out of memory"}`))
		Expect(a.header.Get(outcome.HeaderName)).To(BeEmpty())
		Expect(e.seen()).To(Equal(1))
		r.expectAllEnded(state)
	},
		Entry("500", 500, peer.ReportFailed),
		Entry("400", 400, peer.ReportDone),
		Entry("409 without a typed refusal", 409, peer.ReportDone),
	)

	// Guards against a declared length that is replaced by the length of the empty body.
	It("to HEAD keeps its declared length", func() {
		r := newRig(newEndpoint("d1", "desk", answering("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")))
		a := r.do(call{method: "HEAD", path: "/services/desk/visit", profile: "desk-once", budget: longBudget})
		Expect(a.status).To(Equal(200))
		Expect(a.header.Get("Content-Length")).To(Equal("5"))
	})

	// Guards against an endpoint that speaks in the gateway's name.
	It("cannot state an outcome", func() {
		r := newRig(newEndpoint("d1", "desk", answering("HTTP/1.1 200 OK\r\nX-Acacia-Outcome: not_run\r\nContent-Length: 0\r\n\r\n")))
		Expect(r.do(booking("", longBudget)).header.Get(outcome.HeaderName)).To(BeEmpty())
	})

	// Guards against an answer that is repeated although only the gateway's buffer was too small for it.
	It("that is too large is not asked for again", func() {
		e := newEndpoint("e1", "turf", answering(wholeAnswer(200, strings.Repeat("x", 5<<20))))
		a := newRig(e).do(completion(false, longBudget))
		expectAnswer(a, outcome.Unknown, outcome.StageDecode, "answer_too_large")
		Expect(e.seen()).To(Equal(1))
	})

	echo := func(a *arrival) {
		_, body := a.request()
		_, _ = io.WriteString(a, wholeAnswer(200, "answer to "+body))
	}

	// Guards against an answer that reaches another caller.
	It("reaches its own caller among concurrent ones", func() {
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
				Expect(readAnswer(bufio.NewReader(conn), c.method).body).To(Equal("answer to " + c.body))
			}()
		}
		wait.Wait()
	})

	// Guards against pipelined answers out of order.
	It("reaches its own one of pipelined requests", func() {
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
			Expect(readAnswer(reader, "POST").body).To(Equal(fmt.Sprintf("answer to visit %d", i)))
		}
	})
})

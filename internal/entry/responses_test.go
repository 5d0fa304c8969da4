package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an endpoint's complete response", func() {
	// Guards against responses that the instance changes, in any framing.
	DescribeTable("is forwarded unchanged", func(script func(net.Conn, receivedRequest), status int, body string) {
		r := newRig([]*fakeEndpoint{newEndpoint(script)})
		got := r.call("/once/2f?x=%2F")
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(status))
		Expect(got.body).To(Equal(body))
	},
		Entry("with a length", respond(sealedResponse("answer")), 200, "answer"),
		Entry("empty", respond(sealedResponse("")), 200, ""),
		Entry("in chunks", respond("HTTP/1.1 200 OK\r\n"+sealedHeaders+"Transfer-Encoding: chunked\r\n\r\n"+chunk("ans")+chunk("wer")+"0\r\n\r\n"), 200, "answer"),
		Entry("that ends with the connection", respondAndClose("HTTP/1.1 200 OK\r\n"+sealedHeaders+"\r\nanswer"), 200, "answer"),
		Entry("with a server error", respond("HTTP/1.1 500 X\r\n"+sealedHeaders+"Content-Length: 4\r\n\r\noops"), 500, "oops"),
	)

	// Guards against requests that the instance changes, and against headers of the caller that only the instance may set.
	It("results from the caller's request, changed only in the headers that the instance sets", func() {
		e := newEndpoint(respond(sealedResponse("answer")))
		r := newRig([]*fakeEndpoint{e}, withTeams)
		got := r.call("/safe/2f?x=%2F", "Api-Key", teamKey, "Acacialift-Tenant", "other", "Acacialift-Helpers", "1.2.3.4:5",
			"Acacialift-Expect-Instance", "i-other", "X-Own", "kept", "Connection", "X-Hop", "X-Hop", "dropped")
		Expect(got.status).To(Equal(http.StatusOK))
		received := e.requests()[0]
		Expect(received.request.RequestURI).To(Equal("/safe/2f?x=%2F"))
		Expect(received.request.Host).To(Equal("calls.example"))
		Expect(received.body).To(Equal("prompt"))
		header := received.request.Header
		Expect(header.Get("Acacialift-Request-Id")).To(Equal(callID))
		Expect(header.Get("Acacialift-Tenant")).To(Equal("team-1"))
		Expect(header.Get("Acacialift-Expect-Instance")).To(Equal("i-0"))
		Expect(header.Get("X-Own")).To(Equal("kept"))
		for _, name := range []string{"Api-Key", "Acacialift-Helpers", "X-Hop"} {
			Expect(header.Values(name)).To(BeEmpty(), name)
		}
	})
})

// invalidResponses are responses of which nothing may be forwarded. The request may have run.
var invalidResponses = map[string]func(net.Conn, receivedRequest){
	"without a seal":                       respond("HTTP/1.1 200 OK\r\nAcacialift-Request-Id: %ID\r\nContent-Length: 2\r\n\r\nno"),
	"without an id":                        respond("HTTP/1.1 200 OK\r\nAcacialift-Response-Seal: s\r\nContent-Length: 2\r\n\r\nno"),
	"to another request":                   respond("HTTP/1.1 200 OK\r\nAcacialift-Request-Id: other\r\nAcacialift-Response-Seal: s\r\nContent-Length: 2\r\n\r\nno"),
	"encoded":                              respond("HTTP/1.1 200 OK\r\n" + sealedHeaders + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno"),
	"shorter than its length":              respondAndClose("HTTP/1.1 200 OK\r\n" + sealedHeaders + "Content-Length: 9\r\n\r\nno"),
	"truncated between chunks":             respondAndClose("HTTP/1.1 200 OK\r\n" + sealedHeaders + "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n"),
	"unframed and reset":                   respondAndReset("HTTP/1.1 200 OK\r\n" + sealedHeaders + "\r\nno"),
	"not HTTP":                             respondAndClose("garbage\r\n\r\n"),
	"closed connection without a response": respondAndClose(""),
	"reset connection without a response":  respondAndReset(""),
	"two lengths":                          respond("HTTP/1.1 200 OK\r\n" + sealedHeaders + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nno"),
	"503 without a typed refusal":          respond("HTTP/1.1 503 X\r\n" + sealedHeaders + "Content-Length: 2\r\n\r\nno"),
	"status 000":                           respond("HTTP/1.1 000 X\r\n" + sealedHeaders + "Content-Length: 2\r\n\r\nno"),
	"status 099 before a sound response":   respond("HTTP/1.1 099 X\r\n\r\n" + sealedResponse("no")),
	"status 000 before a sound response":   respond("HTTP/1.1 000 X\r\n\r\n" + sealedResponse("no")),
	"status 600":                           respond("HTTP/1.1 600 X\r\n" + sealedHeaders + "Content-Length: 2\r\n\r\nno"),
	"status 999":                           respond("HTTP/1.1 999 X\r\n" + sealedHeaders + "Content-Length: 2\r\n\r\nno"),
	"status 999 with a typed refusal":      respond("HTTP/1.1 999 X\r\n" + sealedHeaders + "Acacialift-Not-Executed: 1\r\nContent-Length: 2\r\n\r\nno"),
	"status with a sign":                   respond("HTTP/1.1 +20 X\r\n" + sealedHeaders + "Content-Length: 2\r\n\r\nno"),
	"status after two spaces":              respond("HTTP/1.1  200 X\r\n" + sealedHeaders + "Content-Length: 2\r\n\r\nno"),
	"status of two digits":                 respond("HTTP/1.1 20 X\r\n" + sealedHeaders + "Content-Length: 2\r\n\r\nno"),
	"no status":                            respond("HTTP/1.1\r\n" + sealedHeaders + "Content-Length: 2\r\n\r\nno"),
	"switch of protocols":                  respond("HTTP/1.1 101 X\r\n" + sealedHeaders + "\r\n"),
}

var _ = Describe("an invalid response", func() {
	for name, script := range invalidResponses {
		// Guards against an invalid response that is forwarded as a success, against a second run of the request, and against the
		// outcome "not run" for a request that may have run.
		It("ends a request that must not run twice with an unknown outcome: "+name, func() {
			a, b := newEndpoint(script), newEndpoint(script)
			got := newRig([]*fakeEndpoint{a, b}).call("/unsafe/")
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.status).To(Equal(http.StatusBadGateway))
			Expect(got.header.Get("Acacialift-Response-Seal")).To(BeEmpty())
			Expect(totalRequests(a, b)).To(Equal(1))
		})

		// Guards against a failed request that another endpoint could have served.
		It("is followed by another attempt if the request may be retried: "+name, func() {
			valid := respond(sealedResponse("answer"))
			first := true
			invalidOnce := func(conn net.Conn, r receivedRequest) {
				if first {
					first = false
					script(conn, r)
					return
				}
				valid(conn, r)
			}
			a, b := newEndpoint(invalidOnce), newEndpoint(invalidOnce)
			got := newRig([]*fakeEndpoint{a, b}).call("/safe/")
			Expect(got.status).To(Equal(http.StatusOK))
			Expect(got.body).To(Equal("answer"))
			Expect(len(a.requests())).To(Equal(1))
			Expect(len(b.requests())).To(Equal(1))
		})
	}

	// Guards against a late extra response on a reused connection that is treated as the response to the next request.
	It("to an earlier request on a reused connection is not forwarded to the next caller", func() {
		extra := "HTTP/1.1 200 OK\r\nAcacialift-Request-Id: earlier\r\nAcacialift-Response-Seal: s\r\nContent-Length: 5\r\n\r\nstale"
		late := func(conn net.Conn, r receivedRequest) {
			respond(extra)(conn, r)
			respond(sealedResponse("fresh"))(conn, r)
		}
		e := newEndpoint(respond(sealedResponse("first")), late)
		r := newRig([]*fakeEndpoint{e})
		Expect(r.call("/safe/").body).To(Equal("first"))
		Expect(r.call("/safe/").body).To(Equal("fresh"))
		Expect(e.connectionCount()).To(Equal(1))
	})

	// Guards against the reuse of a connection on which bytes have arrived that belong to no request.
	It("that arrives before the next request is sent prevents the reuse of the connection", func() {
		extra := "HTTP/1.1 200 OK\r\nAcacialift-Request-Id: %ID\r\nAcacialift-Response-Seal: s\r\nContent-Length: 5\r\n\r\nstale"
		e := newEndpoint(respond(sealedResponse("first")+extra), respond(sealedResponse("fresh")))
		r := newRig([]*fakeEndpoint{e})
		Expect(r.call("/safe/").body).To(Equal("first"))
		time.Sleep(20 * time.Millisecond)
		Expect(r.call("/safe/").body).To(Equal("fresh"))
		Expect(e.connectionCount()).To(Equal(2))
	})
})

var _ = Describe("a typed refusal of an endpoint", func() {
	const fullRefusal = "HTTP/1.1 503 X\r\nAcacialift-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	const misdirectedRefusal = "HTTP/1.1 421 X\r\nAcacialift-Instance-Id: i-other\r\nContent-Length: 0\r\n\r\n"

	// Guards against a failed request that another endpoint could have run.
	DescribeTable("is followed by another attempt even if the request must not run twice", func(refusal string) {
		used := false
		refuseOnce := func(conn net.Conn, r receivedRequest) {
			if !used {
				used = true
				respond(refusal)(conn, r)
				return
			}
			respond(sealedResponse("answer"))(conn, r)
		}
		a, b := newEndpoint(refuseOnce), newEndpoint(refuseOnce)
		got := newRig([]*fakeEndpoint{a, b}).call("/unsafe/")
		Expect(got.body).To(Equal("answer"))
		Expect(totalRequests(a, b)).To(Equal(2))
	}, Entry("at capacity", fullRefusal), Entry("at an address of another endpoint", misdirectedRefusal))

	// Guards against more attempts than the profile allows, and against a refusal without Retry-After.
	It("ends the request as not run and with a Retry-After if no attempt remains", func() {
		a, b := newEndpoint(respond(fullRefusal)), newEndpoint(respond(fullRefusal))
		got := newRig([]*fakeEndpoint{a, b}).call("/once/")
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(totalRequests(a, b)).To(Equal(1))
	})

	// Guards against a forwarded status from which callers conclude that the request has not run, although the endpoint did not
	// state that.
	DescribeTable("is not concluded from the status alone", func(status int, path string, attempts int) {
		bare := fmt.Sprintf("HTTP/1.1 %d X\r\nRetry-After: 1\r\nContent-Length: 4\r\n\r\nbusy", status)
		a, b := newEndpoint(respond(bare)), newEndpoint(respond(bare))
		got := newRig([]*fakeEndpoint{a, b}).call(path)
		Expect(got.status).To(Equal(http.StatusBadGateway))
		Expect(totalRequests(a, b)).To(Equal(attempts))
	},
		Entry("429 to a request that must not run twice", http.StatusTooManyRequests, "/unsafe/", 1),
		Entry("408 to a request that must not run twice", http.StatusRequestTimeout, "/unsafe/", 1),
		Entry("503 to a request that must not run twice", http.StatusServiceUnavailable, "/unsafe/", 1),
		Entry("429 to a request that may be retried", http.StatusTooManyRequests, "/safe/", 2),
		Entry("503 to a request that may be retried", http.StatusServiceUnavailable, "/safe/", 2),
	)

	// Guards against the outcome "not run" if an earlier attempt may have run and the last attempt was refused.
	It("does not result in the outcome \"not run\" if an earlier attempt may have run", func() {
		used := false
		resetOnce := func(conn net.Conn, r receivedRequest) {
			if !used {
				used = true
				respondAndReset("")(conn, r)
				return
			}
			respond(fullRefusal)(conn, r)
		}
		got := newRig([]*fakeEndpoint{newEndpoint(resetOnce), newEndpoint(resetOnce)}).call("/safe/")
		Expect(got.status).To(Equal(http.StatusBadGateway))
	})

	// Guards against a second attempt with the helper that caused the first one to fail.
	It("excludes the endpoint that it names as faulty from the next attempt", func() {
		var endpoints []*fakeEndpoint
		var faulty *fakeEndpoint
		blameOther := func(conn net.Conn, r receivedRequest) {
			if faulty != nil {
				respond(sealedResponse("answer"))(conn, r)
				return
			}
			for _, e := range endpoints {
				if e.listener.Addr().String() != conn.LocalAddr().String() {
					faulty = e
				}
			}
			respond("HTTP/1.1 503 X\r\nAcacialift-Not-Executed: 1\r\nAt-Server: "+faulty.listener.Addr().String()+"\r\nContent-Length: 0\r\n\r\n")(conn, r)
		}
		endpoints = []*fakeEndpoint{newEndpoint(blameOther), newEndpoint(blameOther), newEndpoint(blameOther)}
		Expect(newRig(endpoints).call("/safe/").body).To(Equal("answer"))
		Expect(totalRequests(faulty)).To(BeZero())
	})

	// Guards against a request that fails because one endpoint is unreachable, although nothing was sent to that endpoint.
	It("is not needed for another attempt if no connection can be opened", func() {
		unreachable := newEndpoint(neverRespond)
		_ = unreachable.listener.Close()
		reachable := newEndpoint(respond(sealedResponse("answer")))
		r := newRig([]*fakeEndpoint{unreachable, reachable})
		for range 4 {
			Expect(r.call("/once/").body).To(Equal("answer"))
		}
	})
})

var _ = Describe("the time limit of a request", func() {
	// Guards against a caller that waits longer than the limit, and against the outcome "not run" for a request that was sent.
	It("ends a request with an unknown outcome if it was sent", func() {
		r := newRig([]*fakeEndpoint{newEndpoint(neverRespond)})
		began := time.Now()
		got := r.call("/once/", "Acacialift-Deadline-Ms", "150")
		Expect(got.status).To(Equal(http.StatusGatewayTimeout))
		Expect(time.Since(began)).To(BeNumerically(">=", 150*time.Millisecond))
	})

	// Guards against an endpoint that works on a request for longer than the caller waits.
	It("is sent to the endpoint as remaining time, which is less for a later attempt", func() {
		slow := func(conn net.Conn, r receivedRequest) {
			time.Sleep(60 * time.Millisecond)
			respondAndReset("")(conn, r)
		}
		a, b := newEndpoint(slow), newEndpoint(slow)
		newRig([]*fakeEndpoint{a, b}).call("/safe/", "Acacialift-Deadline-Ms", "5000")
		var remaining []string
		for _, e := range []*fakeEndpoint{a, b} {
			Expect(e.requests()).To(HaveLen(1))
			remaining = append(remaining, e.requests()[0].request.Header.Get("Acacialift-Deadline-Ms"))
		}
		Expect(remaining).To(HaveEach(MatchRegexp(`^4\d{3}$`)))
		Expect(remaining[0]).NotTo(Equal(remaining[1]))
	})

	// Guards against endpoints that continue to work for a caller that has disconnected.
	It("is not used up if the caller disconnects: the connection to the endpoint is closed", func() {
		closed := make(chan struct{})
		e := newEndpoint(func(conn net.Conn, _ receivedRequest) {
			_, _ = conn.Read(make([]byte, 1))
			close(closed)
		})
		r := newRig([]*fakeEndpoint{e})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			Eventually(e.requests, waitTimeout).Should(HaveLen(1))
			cancel()
		}()
		_, err := (&http.Transport{}).RoundTrip(r.newRequest(ctx, "/safe/"))
		Expect(err).To(HaveOccurred())
		Eventually(closed, waitTimeout).Should(BeClosed())
		Expect(totalRequests(e)).To(Equal(1))
	})
})

var _ = Describe("a stream", func() {
	// Guards against events that are buffered until the stream ends.
	It("is forwarded event by event", func() {
		proceed := make(chan struct{})
		e := newEndpoint(func(conn net.Conn, r receivedRequest) {
			respond(streamHead+chunk(streamEvent(1)))(conn, r)
			<-proceed
			respond(chunk(streamEvent(2))+"0\r\n\r\n")(conn, r)
		})
		r := newRig([]*fakeEndpoint{e})
		response, err := (&http.Transport{DisableCompression: true}).RoundTrip(r.newRequest(context.Background(), "/stream/"))
		Expect(err).NotTo(HaveOccurred())
		first := make([]byte, len(streamEvent(1)))
		_, err = response.Body.Read(first)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(first)).To(Equal(streamEvent(1)))
		close(proceed)
	})

	// Guards against a truncated stream that looks complete to the caller, and against a truncated event that is forwarded.
	DescribeTable("that must not be resumed is aborted at the caller too", func(truncate func(string) func(net.Conn, receivedRequest)) {
		e := newEndpoint(truncate(streamHead + chunk(streamEvent(1)) + chunk("id: 2\ndata: pie")))
		other := newEndpoint(truncate(streamHead + chunk(streamEvent(1)) + chunk("id: 2\ndata: pie")))
		got := newRig([]*fakeEndpoint{e, other}).call("/stream/")
		Expect(got.err).To(HaveOccurred())
		Expect(got.body).NotTo(ContainSubstring("id: 2"))
		Expect(totalRequests(e, other)).To(Equal(1))
	}, Entry("closed", respondAndClose), Entry("reset", respondAndReset))

	// Guards against a stream that looks complete although its end is in the middle of an event.
	It("that ends in the middle of an event is aborted", func() {
		got := newRig([]*fakeEndpoint{newEndpoint(respond(streamHead + chunk(streamEvent(1)+"id: 2\ndata") + "0\r\n\r\n"))}).call("/stream/")
		Expect(got.err).To(HaveOccurred())
		Expect(got.body).To(Equal(streamEvent(1)))
	})

	// Guards against events that are lost or repeated when a stream is resumed at another endpoint.
	It("that may be resumed continues after the last complete event in the same response", func() {
		first := true
		script := func(conn net.Conn, r receivedRequest) {
			if first {
				first = false
				respondAndReset(streamHead+chunk(streamEvent(1)+streamEvent(2)+"id: 3\ndata: pi"))(conn, r)
				return
			}
			respond(streamHead+chunk(streamEvent(3)+streamEvent(4))+"0\r\n\r\n")(conn, r)
		}
		a, b := newEndpoint(script), newEndpoint(script)
		got := newRig([]*fakeEndpoint{a, b}).call("/resume/")
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(streamEvent(1) + streamEvent(2) + streamEvent(3) + streamEvent(4)))
		second := a.requests()
		if second[0].request.Header.Get("Last-Event-Id") == "" {
			second = b.requests()
		}
		Expect(second[0].request.Header.Get("Last-Event-Id")).To(Equal("2"))
	})

	// Guards against events of two runs in one stream, if an endpoint starts from the beginning instead of resuming.
	It("is aborted if the other endpoint starts from the beginning", func() {
		script := func(conn net.Conn, r receivedRequest) {
			respondAndReset(streamHead+chunk(streamEvent(1)+streamEvent(2)))(conn, r)
		}
		a, b := newEndpoint(script), newEndpoint(script)
		got := newRig([]*fakeEndpoint{a, b}).call("/resume/")
		Expect(got.err).To(HaveOccurred())
		Expect(strings.Count(got.body, "id: 1")).To(Equal(1))
		Expect(strings.Count(got.body, "id: 2")).To(Equal(1))
	})
})

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

var _ = Describe("an endpoint's whole answer", func() {
	// Guards against answers that are changed on the way, in any framing.
	DescribeTable("is passed on unchanged", func(script func(net.Conn, arrival), status int, body string) {
		r := newRig([]*fakeEndpoint{newEndpoint(script)})
		got := r.call("/once/2f?x=%2F")
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(status))
		Expect(got.body).To(Equal(body))
	},
		Entry("by length", text(whole("answer")), 200, "answer"),
		Entry("empty", text(whole("")), 200, ""),
		Entry("by chunks", text("HTTP/1.1 200 OK\r\n"+sealed+"Transfer-Encoding: chunked\r\n\r\n"+chunk("ans")+chunk("wer")+"0\r\n\r\n"), 200, "answer"),
		Entry("until the end of the connection", ended("HTTP/1.1 200 OK\r\n"+sealed+"\r\nanswer"), 200, "answer"),
		Entry("a failure of its own", text("HTTP/1.1 500 X\r\n"+sealed+"Content-Length: 4\r\n\r\noops"), 500, "oops"),
	)

	// Guards against requests that are changed on the way, and against headers that a caller smuggles in.
	It("follows the caller's request, with the headers that the system sets itself", func() {
		e := newEndpoint(text(whole("answer")))
		r := newRig([]*fakeEndpoint{e}, withTeams)
		got := r.call("/safe/2f?x=%2F", "Api-Key", teamKey, "Acacialift-Tenant", "other", "Acacialift-Helpers", "1.2.3.4:5",
			"Acacialift-Expect-Instance", "i-other", "X-Own", "kept", "Connection", "X-Hop", "X-Hop", "dropped")
		Expect(got.status).To(Equal(http.StatusOK))
		reached := e.reached()[0]
		Expect(reached.request.RequestURI).To(Equal("/safe/2f?x=%2F"))
		Expect(reached.request.Host).To(Equal("calls.example"))
		Expect(reached.body).To(Equal("prompt"))
		header := reached.request.Header
		Expect(header.Get("Acacialift-Request-Id")).To(Equal(callID))
		Expect(header.Get("Acacialift-Tenant")).To(Equal("team-1"))
		Expect(header.Get("Acacialift-Expect-Instance")).To(Equal("i-0"))
		Expect(header.Get("X-Own")).To(Equal("kept"))
		for _, name := range []string{"Api-Key", "Acacialift-Helpers", "X-Hop"} {
			Expect(header.Values(name)).To(BeEmpty(), name)
		}
	})
})

// brokenAnswers are answers after which the request may have run and of which nothing may be passed on.
var brokenAnswers = map[string]func(net.Conn, arrival){
	"without seal":          text("HTTP/1.1 200 OK\r\nAcacialift-Request-Id: %ID\r\nContent-Length: 2\r\n\r\nno"),
	"without id":            text("HTTP/1.1 200 OK\r\nAcacialift-Response-Seal: s\r\nContent-Length: 2\r\n\r\nno"),
	"of another request":    text("HTTP/1.1 200 OK\r\nAcacialift-Request-Id: other\r\nAcacialift-Response-Seal: s\r\nContent-Length: 2\r\n\r\nno"),
	"encoded":               text("HTTP/1.1 200 OK\r\n" + sealed + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno"),
	"cut in its length":     ended("HTTP/1.1 200 OK\r\n" + sealed + "Content-Length: 9\r\n\r\nno"),
	"cut in its chunks":     ended("HTTP/1.1 200 OK\r\n" + sealed + "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n"),
	"unframed and reset":    reset("HTTP/1.1 200 OK\r\n" + sealed + "\r\nno"),
	"no HTTP":               ended("garbage\r\n\r\n"),
	"nothing, closed":       ended(""),
	"nothing, reset":        reset(""),
	"two lengths":           text("HTTP/1.1 200 OK\r\n" + sealed + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nno"),
	"a bare 503":            text("HTTP/1.1 503 X\r\n" + sealed + "Content-Length: 2\r\n\r\nno"),
	"a switch of protocols": text("HTTP/1.1 101 X\r\n" + sealed + "\r\n"),
}

var _ = Describe("a broken answer", func() {
	for name, script := range brokenAnswers {
		// Guards against a success made of a broken answer, against a second run, and against "not run" where it may have.
		It("ends a request that must not run twice without a promise: "+name, func() {
			a, b := newEndpoint(script), newEndpoint(script)
			got := newRig([]*fakeEndpoint{a, b}).call("/unsafe/")
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.status).To(Equal(http.StatusBadGateway))
			Expect(got.header.Get("Acacialift-Response-Seal")).To(BeEmpty())
			Expect(total(a, b)).To(Equal(1))
		})

		// Guards against a lost request where another endpoint could have answered it.
		It("is followed by another attempt if the request may be repeated: "+name, func() {
			good := text(whole("answer"))
			first := true
			either := func(conn net.Conn, a arrival) {
				if first {
					first = false
					script(conn, a)
					return
				}
				good(conn, a)
			}
			a, b := newEndpoint(either), newEndpoint(either)
			got := newRig([]*fakeEndpoint{a, b}).call("/safe/")
			Expect(got.status).To(Equal(http.StatusOK))
			Expect(got.body).To(Equal("answer"))
			Expect(len(a.reached())).To(Equal(1))
			Expect(len(b.reached())).To(Equal(1))
		})
	}

	// Guards against bytes of a late extra answer that are taken for the next request's answer.
	It("that comes late on a kept connection is not taken for the next request's", func() {
		extra := "HTTP/1.1 200 OK\r\nAcacialift-Request-Id: earlier\r\nAcacialift-Response-Seal: s\r\nContent-Length: 5\r\n\r\nstale"
		late := func(conn net.Conn, a arrival) {
			text(extra)(conn, a)
			text(whole("fresh"))(conn, a)
		}
		e := newEndpoint(text(whole("first")), late)
		r := newRig([]*fakeEndpoint{e})
		Expect(r.call("/safe/").body).To(Equal("first"))
		Expect(r.call("/safe/").body).To(Equal("fresh"))
		Expect(e.connections).To(Equal(1))
	})

	// Guards against the reuse of a connection that holds bytes of no request.
	It("that came before the next request was sent makes the connection useless", func() {
		extra := "HTTP/1.1 200 OK\r\nAcacialift-Request-Id: %ID\r\nAcacialift-Response-Seal: s\r\nContent-Length: 5\r\n\r\nstale"
		e := newEndpoint(text(whole("first")+extra), text(whole("fresh")))
		r := newRig([]*fakeEndpoint{e})
		Expect(r.call("/safe/").body).To(Equal("first"))
		time.Sleep(20 * time.Millisecond)
		Expect(r.call("/safe/").body).To(Equal("fresh"))
		Expect(e.connections).To(Equal(2))
	})
})

var _ = Describe("a typed refusal of an endpoint", func() {
	const shed = "HTTP/1.1 503 X\r\nAcacialift-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	const moved = "HTTP/1.1 421 X\r\nAcacialift-Instance-Id: i-other\r\nContent-Length: 0\r\n\r\n"

	// Guards against a lost request that another endpoint could have run.
	DescribeTable("lets even a request that must not run twice go to another endpoint", func(refusal string) {
		used := false
		either := func(conn net.Conn, a arrival) {
			if !used {
				used = true
				text(refusal)(conn, a)
				return
			}
			text(whole("answer"))(conn, a)
		}
		a, b := newEndpoint(either), newEndpoint(either)
		got := newRig([]*fakeEndpoint{a, b}).call("/unsafe/")
		Expect(got.body).To(Equal("answer"))
		Expect(total(a, b)).To(Equal(2))
	}, Entry("when it is full", shed), Entry("when the address belongs to another one", moved))

	// Guards against more endpoints than the profile allows, and against a refusal without advice.
	It("ends the request when no attempt is left, as not run and with a time to come back", func() {
		a, b := newEndpoint(text(shed)), newEndpoint(text(shed))
		got := newRig([]*fakeEndpoint{a, b}).call("/once/")
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(total(a, b)).To(Equal(1))
	})

	// Guards against a status that callers read as "not run", passed on from an endpoint that did not say so.
	DescribeTable("must say that it is one: a bare status is no promise", func(status int, path string, attempts int) {
		bare := fmt.Sprintf("HTTP/1.1 %d X\r\nRetry-After: 1\r\nContent-Length: 4\r\n\r\nbusy", status)
		a, b := newEndpoint(text(bare)), newEndpoint(text(bare))
		got := newRig([]*fakeEndpoint{a, b}).call(path)
		Expect(got.status).To(Equal(http.StatusBadGateway))
		Expect(total(a, b)).To(Equal(attempts))
	},
		Entry("429 to a request that must not run twice", http.StatusTooManyRequests, "/unsafe/", 1),
		Entry("408 to a request that must not run twice", http.StatusRequestTimeout, "/unsafe/", 1),
		Entry("503 to a request that must not run twice", http.StatusServiceUnavailable, "/unsafe/", 1),
		Entry("429 to a request that may be repeated", http.StatusTooManyRequests, "/safe/", 2),
		Entry("503 to a request that may be repeated", http.StatusServiceUnavailable, "/safe/", 2),
	)

	// Guards against "not run" after a refusal that followed an attempt that may have run.
	It("does not make an earlier attempt unrun", func() {
		used := false
		either := func(conn net.Conn, a arrival) {
			if !used {
				used = true
				reset("")(conn, a)
				return
			}
			text(shed)(conn, a)
		}
		got := newRig([]*fakeEndpoint{newEndpoint(either), newEndpoint(either)}).call("/safe/")
		Expect(got.status).To(Equal(http.StatusBadGateway))
	})

	// Guards against a second attempt with the helper that failed the first one.
	It("that names another endpoint as the one at fault keeps that one from the next attempt", func() {
		var endpoints []*fakeEndpoint
		var atFault *fakeEndpoint
		either := func(conn net.Conn, a arrival) {
			if atFault != nil {
				text(whole("answer"))(conn, a)
				return
			}
			for _, e := range endpoints {
				if e.listener.Addr().String() != conn.LocalAddr().String() {
					atFault = e
				}
			}
			text("HTTP/1.1 503 X\r\nAcacialift-Not-Executed: 1\r\nAt-Server: "+atFault.listener.Addr().String()+"\r\nContent-Length: 0\r\n\r\n")(conn, a)
		}
		endpoints = []*fakeEndpoint{newEndpoint(either), newEndpoint(either), newEndpoint(either)}
		Expect(newRig(endpoints).call("/safe/").body).To(Equal("answer"))
		Expect(total(atFault)).To(BeZero())
	})

	// Guards against a request that is lost because one address is dead: nothing was sent there.
	It("is not needed where no connection can be opened", func() {
		dead := newEndpoint(silent)
		_ = dead.listener.Close()
		live := newEndpoint(text(whole("answer")))
		r := newRig([]*fakeEndpoint{dead, live})
		for range 4 {
			Expect(r.call("/once/").body).To(Equal("answer"))
		}
	})
})

var _ = Describe("the time of a request", func() {
	// Guards against a caller that waits beyond the limit, and against a false "not run" after a send.
	It("ends it at once and without a promise if it was sent", func() {
		r := newRig([]*fakeEndpoint{newEndpoint(silent)})
		began := time.Now()
		got := r.call("/once/", "Acacialift-Deadline-Ms", "150")
		Expect(got.status).To(Equal(http.StatusGatewayTimeout))
		Expect(time.Since(began)).To(BeNumerically(">=", 150*time.Millisecond))
	})

	// Guards against an endpoint that works for a caller longer than that one waits.
	It("is passed on with what is left, less for a later attempt", func() {
		slow := func(conn net.Conn, a arrival) {
			time.Sleep(60 * time.Millisecond)
			reset("")(conn, a)
		}
		a, b := newEndpoint(slow), newEndpoint(slow)
		newRig([]*fakeEndpoint{a, b}).call("/safe/", "Acacialift-Deadline-Ms", "5000")
		var left []string
		for _, e := range []*fakeEndpoint{a, b} {
			Expect(e.reached()).To(HaveLen(1))
			left = append(left, e.reached()[0].request.Header.Get("Acacialift-Deadline-Ms"))
		}
		Expect(left).To(HaveEach(MatchRegexp(`^4\d{3}$`)))
		Expect(left[0]).NotTo(Equal(left[1]))
	})

	// Guards against endpoints that go on working for a caller that has left.
	It("ends when the caller leaves: the endpoint's connection closes", func() {
		closed := make(chan struct{})
		e := newEndpoint(func(conn net.Conn, _ arrival) {
			_, _ = conn.Read(make([]byte, 1))
			close(closed)
		})
		r := newRig([]*fakeEndpoint{e})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			Eventually(e.reached, eventLimit).Should(HaveLen(1))
			cancel()
		}()
		_, err := (&http.Transport{}).RoundTrip(r.newRequest(ctx, "/safe/"))
		Expect(err).To(HaveOccurred())
		Eventually(closed, eventLimit).Should(BeClosed())
		Expect(total(e)).To(Equal(1))
	})
})

var _ = Describe("a stream", func() {
	// Guards against events that are held back until the stream ends.
	It("is passed on event by event", func() {
		goOn := make(chan struct{})
		e := newEndpoint(func(conn net.Conn, a arrival) {
			text(streamHead+chunk(streamEvent(1)))(conn, a)
			<-goOn
			text(chunk(streamEvent(2))+"0\r\n\r\n")(conn, a)
		})
		r := newRig([]*fakeEndpoint{e})
		response, err := (&http.Transport{DisableCompression: true}).RoundTrip(r.newRequest(context.Background(), "/stream/"))
		Expect(err).NotTo(HaveOccurred())
		first := make([]byte, len(streamEvent(1)))
		_, err = response.Body.Read(first)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(first)).To(Equal(streamEvent(1)))
		close(goOn)
	})

	// Guards against a cut stream that looks complete, and against a cut event that is passed on.
	DescribeTable("that may not resume is cut at the caller too", func(cut func(string) func(net.Conn, arrival)) {
		e := newEndpoint(cut(streamHead + chunk(streamEvent(1)) + chunk("id: 2\ndata: pie")))
		other := newEndpoint(cut(streamHead + chunk(streamEvent(1)) + chunk("id: 2\ndata: pie")))
		got := newRig([]*fakeEndpoint{e, other}).call("/stream/")
		Expect(got.err).To(HaveOccurred())
		Expect(got.body).NotTo(ContainSubstring("id: 2"))
		Expect(total(e, other)).To(Equal(1))
	}, Entry("closed", ended), Entry("reset", reset))

	// Guards against a complete end in the middle of an event.
	It("that ends in the middle of an event is cut", func() {
		got := newRig([]*fakeEndpoint{newEndpoint(text(streamHead + chunk(streamEvent(1)+"id: 2\ndata") + "0\r\n\r\n"))}).call("/stream/")
		Expect(got.err).To(HaveOccurred())
		Expect(got.body).To(Equal(streamEvent(1)))
	})

	// Guards against pieces that are lost or come twice when a stream goes on at another endpoint.
	It("that may resume goes on after the last whole event, in one answer", func() {
		first := true
		script := func(conn net.Conn, a arrival) {
			if first {
				first = false
				reset(streamHead+chunk(streamEvent(1)+streamEvent(2)+"id: 3\ndata: pi"))(conn, a)
				return
			}
			text(streamHead+chunk(streamEvent(3)+streamEvent(4))+"0\r\n\r\n")(conn, a)
		}
		a, b := newEndpoint(script), newEndpoint(script)
		got := newRig([]*fakeEndpoint{a, b}).call("/resume/")
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(streamEvent(1) + streamEvent(2) + streamEvent(3) + streamEvent(4)))
		second := a.reached()
		if second[0].request.Header.Get("Last-Event-Id") == "" {
			second = b.reached()
		}
		Expect(second[0].request.Header.Get("Last-Event-Id")).To(Equal("2"))
	})

	// Guards against joined pieces of two runs if an endpoint does not go on where it was told to.
	It("is cut if the other endpoint begins anew", func() {
		script := func(conn net.Conn, a arrival) {
			reset(streamHead+chunk(streamEvent(1)+streamEvent(2)))(conn, a)
		}
		a, b := newEndpoint(script), newEndpoint(script)
		got := newRig([]*fakeEndpoint{a, b}).call("/resume/")
		Expect(got.err).To(HaveOccurred())
		Expect(strings.Count(got.body, "id: 1")).To(Equal(1))
		Expect(strings.Count(got.body, "id: 2")).To(Equal(1))
	})
})

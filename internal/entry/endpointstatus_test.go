package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/entry"
	"github.com/acacialift/acacialift/internal/fleet"
)

// leavingResponse returns a response of an endpoint that states that it is leaving.
func leavingResponse(body string) string {
	return strings.Replace(sealedResponse(body), "\r\n", "\r\nServer-Leaving: 1\r\n", 1)
}

// endpointPair returns two endpoints. The first request that reaches one of them gets the given response. All later requests
// to both endpoints get the body "here". The returned function returns the endpoint that got the first request.
func endpointPair(response string) (endpoints []*fakeEndpoint, first func() *fakeEndpoint) {
	var mu sync.Mutex
	at := -1
	for i := range 2 {
		endpoints = append(endpoints, newEndpoint(func(conn net.Conn, r receivedRequest) {
			mu.Lock()
			isFirst := at < 0
			if isFirst {
				at = i
			}
			mu.Unlock()
			if isFirst {
				respond(response)(conn, r)
				return
			}
			respond(sealedResponse("here"))(conn, r)
		}))
	}
	return endpoints, func() *fakeEndpoint {
		mu.Lock()
		defer mu.Unlock()
		return endpoints[at]
	}
}

// backOffResponse returns a typed refusal that requests a back-off.
func backOffResponse(seconds string) string {
	return "HTTP/1.1 503 X\r\nAcacialift-Not-Executed: 1\r\nRetry-After: " + seconds + "\r\nContent-Length: 0\r\n\r\n"
}

var _ = Describe("an endpoint that states that it is leaving", func() {
	const calls = 12

	// Guards against requests to an endpoint that stops before it responds, because the published list of endpoints still
	// contains it.
	It("gets no further request, even if the published list still contains this incarnation", func() {
		endpoints, leaving := endpointPair(leavingResponse("bye"))
		r := newRig(endpoints)
		Expect(r.call("/safe/").body).To(Equal("bye"))
		for range calls {
			Expect(r.call("/safe/").body).To(Equal("here"))
		}
		for i, e := range endpoints {
			r.state.PutEndpoint(&fleet.Endpoint{
				ID: fmt.Sprintf("i-%d", i), Service: "pool", Address: e.listener.Addr().String(), Domain: "yard-1", Slots: 4,
			})
		}
		for range calls {
			Expect(r.call("/safe/").body).To(Equal("here"))
		}
		Expect(leaving().requests()).To(HaveLen(1))
	})

	// Guards against an endpoint that never gets requests again because an earlier incarnation with the same id has left.
	It("is used again after it has restarted", func() {
		e := newEndpoint(respond(leavingResponse("bye")), respond(sealedResponse("again")))
		r := newRig([]*fakeEndpoint{e})
		Expect(r.call("/safe/").body).To(Equal("bye"))
		Expect(r.call("/safe/").status).To(Equal(503))
		r.state.PutEndpoint(&fleet.Endpoint{
			ID: "i-0", Started: 2, Service: "pool", Address: e.listener.Addr().String(), Domain: "yard-1", Slots: 4,
		})
		Expect(r.call("/safe/").body).To(Equal("again"))
	})

	// Guards against a header that is evaluated in some kinds of responses only.
	DescribeTable("gets no further request after any kind of response", func(response string) {
		endpoints, leaving := endpointPair(response)
		r := newRig(endpoints)
		for range calls {
			r.call("/safe/")
		}
		Expect(leaving().requests()).To(HaveLen(1))
	},
		Entry("a refusal", "HTTP/1.1 503 X\r\nAcacialift-Not-Executed: 1\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"),
		Entry("a server error", "HTTP/1.1 500 X\r\nServer-Leaving: 1\r\n"+sealedHeaders+"Content-Length: 0\r\n\r\n"),
	)
})

var _ = Describe("an endpoint that requests a back-off", func() {
	const calls = 12

	// Guards against requests that prevent an overloaded endpoint from recovering: none may reach it during its back-off.
	It("gets no request during the back-off, and the other endpoints continue to serve", func() {
		endpoints, first := endpointPair(backOffResponse("30"))
		r := newRig(endpoints)
		for range calls {
			Expect(r.call("/safe/").body).To(Equal("here"))
		}
		Expect(first().requests()).To(HaveLen(1))
	})

	// Guards against a Retry-After that ends before any endpoint accepts requests again.
	It("makes this instance refuse with the remaining back-off if there is no other endpoint", func() {
		e := newEndpoint(respond(backOffResponse("30.5")))
		r := newRig([]*fakeEndpoint{e})
		r.call("/safe/")
		refused := r.call("/safe/")
		Expect(refused.status).To(Equal(503))
		seconds, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(seconds).To(BeNumerically("~", 30, 1))
		Expect(e.requests()).To(HaveLen(1))
	})

	// Guards against an endpoint that never gets requests again after a short back-off.
	It("gets requests again after the back-off", func() {
		e := newEndpoint(respond(backOffResponse("0.05")), respond(sealedResponse("again")))
		r := newRig([]*fakeEndpoint{e})
		r.call("/safe/")
		Eventually(func() string { return r.call("/safe/").body }, waitTimeout).Should(Equal("again"))
	})
})

// endless returns a script that sends a head and then pieces until the connection closes. It reports the number of bytes
// that were sent in pieces.
func endless(head, piece string, sent chan<- int) func(net.Conn, receivedRequest) {
	return func(conn net.Conn, r receivedRequest) {
		respond(head)(conn, r)
		total := 0
		for {
			n, err := io.WriteString(conn, piece)
			total += n
			if err != nil {
				sent <- total
				return
			}
		}
	}
}

var _ = Describe("endless bytes", func() {
	const head = "HTTP/1.1 200 OK\r\n" + sealedHeaders
	piece := strings.Repeat("x", 1000)
	forms := map[string]struct{ head, piece string }{
		"instead of a head":                       {"", piece},
		"in a header":                             {"HTTP/1.1 200 OK\r\nX: ", piece},
		"in headers":                              {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"in interim responses":                    {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"in a body with a length":                 {head + "Content-Length: 999999999999\r\n\r\n", piece},
		"in a body that ends with the connection": {head + "\r\n", piece},
		"in chunks":                               {head + "Transfer-Encoding: chunked\r\n\r\n", chunk(piece)},
		"in a chunk extension":                    {head + "Transfer-Encoding: chunked\r\n\r\n5;", piece},
		"in a trailer":                            {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
		"in one event":                            {streamHead, chunk(piece)},
		"in the response to another request":      {"HTTP/1.1 200 OK\r\nAcacialift-Request-Id: other\r\nContent-Length: 999999999999\r\n\r\n", piece},
	}
	for name, form := range forms {
		// Guards against one faulty endpoint that fills the memory of an instance, and against a request that hangs because of it.
		It("end with the close of the connection and leave no response buffered: "+name, func() {
			sent := make(chan int, 2)
			e := newEndpoint(endless(form.head, form.piece, sent))
			r := newRig([]*fakeEndpoint{e}, withBufferedBytes(1<<20))
			got := r.call("/unsafe/")
			Expect(got.status == 502 || got.err != nil).To(BeTrue())
			Eventually(sent, waitTimeout).Should(Receive())
			Expect(entry.BufferedBytes(r.handler)).To(BeZero())
		})
	}

	// Guards against a request that waits until its deadline for the end of a late response to an earlier request.
	It("in a late response to an earlier request end the attempt soon", func() {
		first := respond(sealedResponse("first"))
		late := endless("HTTP/1.1 200 OK\r\nAcacialift-Request-Id: earlier\r\nContent-Length: 999999999999\r\n\r\n", piece, make(chan int, 1))
		e := newEndpoint(first, late)
		r := newRig([]*fakeEndpoint{e})
		Expect(r.call("/safe/").body).To(Equal("first"))
		began := time.Now()
		Expect(r.call("/safe/", "Acacialift-Deadline-Ms", "60000").status).To(Equal(http.StatusBadGateway))
		Expect(time.Since(began)).To(BeNumerically("<", 5*time.Second))
	})

	// Guards against ten faulty endpoints that together use the memory of a small machine, and prevent the responses of other
	// endpoints from being buffered.
	It("from many endpoints at once stay within the memory for buffered responses, and usual responses are still forwarded", func() {
		const endpointCount, bound = 10, 1 << 20
		sent := make(chan int, endpointCount)
		var endpoints []*fakeEndpoint
		for range endpointCount {
			// A body that stalls before it reaches its bound keeps its memory.
			endpoints = append(endpoints, newEndpoint(func(conn net.Conn, r receivedRequest) {
				respond(head+fmt.Sprintf("Content-Length: %d\r\n\r\n", bound))(conn, r)
				_, _ = io.WriteString(conn, strings.Repeat("x", bound/5))
				neverRespond(conn, r)
			}))
		}
		r := newRig(endpoints, withBufferedBytes(bound))
		for range endpointCount {
			go func() {
				defer GinkgoRecover()
				r.call("/unsafe/", "Acacialift-Deadline-Ms", "1500")
				sent <- 1
			}()
		}
		Eventually(func() int { return totalRequests(endpoints...) }, waitTimeout).Should(Equal(endpointCount))
		for range 50 {
			Expect(entry.BufferedBytes(r.handler)).To(BeNumerically("<=", bound))
			time.Sleep(time.Millisecond)
		}
		good := newEndpoint(respond(sealedResponse(strings.Repeat("y", 9000))))
		r.state.PutEndpoint(&fleet.Endpoint{ID: "i-good", Service: "pool", Address: good.listener.Addr().String(), Domain: "yard-1", Slots: 100})
		Eventually(func() int { return len(r.call("/safe/").body) }, waitTimeout).Should(Equal(9000))
		for range endpointCount {
			Eventually(sent, waitTimeout).Should(Receive())
		}
		Eventually(func() int64 { return entry.BufferedBytes(r.handler) }, waitTimeout).Should(BeZero())
	})
})

// withBufferedBytes bounds the memory for buffered responses.
func withBufferedBytes(bytes int64) rigOption {
	return func(_ *fleet.Catalog, options *entry.HandlerOptions) { options.MaxBufferedBytes = bytes }
}

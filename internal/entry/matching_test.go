package entry_test

import (
	"net"
	"net/http"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an earlier refusal that an endpoint writes once more on a kept connection", func() {
	const anonymousRefusal = "HTTP/1.1 503 X\r\nAcacialift-Not-Executed: 1\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n"
	const earlierRefusal = "HTTP/1.1 503 X\r\nAcacialift-Request-Id: earlier\r\nAcacialift-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	const anonymousFailure = "HTTP/1.1 500 X\r\nAcacialift-Response-Seal: s\r\nContent-Length: 4\r\n\r\noops"

	// repeating returns an endpoint that answers the first request on each connection, so that the connection is kept. It runs later
	// requests on the connection too, but writes the given bytes before their responses.
	repeating := func(extra string) *fakeEndpoint {
		var mu sync.Mutex
		used := make(map[net.Conn]bool)
		return newEndpoint(func(conn net.Conn, r receivedRequest) {
			mu.Lock()
			isKept := used[conn]
			used[conn] = true
			mu.Unlock()
			if isKept {
				respond(extra)(conn, r)
			}
			respond(sealedResponse("ran"))(conn, r)
		})
	}

	// Guards against callers that are told "not run" for a request that the endpoint runs, and against a back-off that the endpoint
	// did not ask for (reports of other operators, issue 29).
	DescribeTable("is not taken for the response to the next request", func(extra string) {
		e := repeating(extra)
		r := newRig([]*fakeEndpoint{e})
		Expect(r.call("/safe/").body).To(Equal("ran"))
		got := r.call("/safe/")
		Expect(got.status).To(Equal(http.StatusBadGateway))
		Expect(got.body).To(ContainSubstring(`"outcome":"unknown"`))
		Expect(e.connectionCount()).To(Equal(1))
		Expect(r.call("/safe/").body).To(Equal("ran"))
		Expect(e.connectionCount()).To(Equal(2))
	}, Entry("a refusal without an id", anonymousRefusal), Entry("a failure without an id", anonymousFailure))

	// Guards against the same for one that names the earlier request: the response behind it is the right one.
	It("is skipped if it names the earlier request", func() {
		r := newRig([]*fakeEndpoint{repeating(earlierRefusal)})
		Expect(r.call("/safe/").body).To(Equal("ran"))
		Expect(r.call("/safe/").body).To(Equal("ran"))
	})

	// Guards against a second run, at another endpoint, of a request that may run only once.
	DescribeTable("does not reach a request that may run only once", func(path string) {
		endpoints := []*fakeEndpoint{repeating(anonymousRefusal), repeating(anonymousRefusal)}
		r := newRig(endpoints)
		for totalRequests(endpoints[0]) == 0 || totalRequests(endpoints[1]) == 0 {
			Expect(r.call("/safe/").err).NotTo(HaveOccurred())
		}
		before := totalRequests(endpoints...)
		Expect(r.call(path).body).To(Equal("ran"))
		Expect(totalRequests(endpoints...) - before).To(Equal(1))
	}, Entry("a stream", "/stream/"), Entry("another request", "/unsafe/"))

	// Guards against a connection that is kept although the endpoint does not say which request it responds to: a second copy of
	// the response could belong to any request.
	It("finds no kept connection if the first copy names no request", func() {
		e := newEndpoint(respond(strings.Replace(anonymousRefusal, "Retry-After: 30\r\n", "", 1)), respond(sealedResponse("answer")))
		r := newRig([]*fakeEndpoint{e})
		Expect(r.call("/once/").status).To(Equal(http.StatusServiceUnavailable))
		Expect(r.call("/safe/").body).To(Equal("answer"))
		Expect(e.connectionCount()).To(Equal(2))
	})

	// Guards against a response to an order, which names no request, that is taken for the response to a later order or request on
	// the same connection.
	It("finds no kept connection after an order", func() {
		a, b := newEndpoint(respond(sealedResponse("answer"))), newEndpoint(respond(sealedResponse("answer")))
		r := newRig([]*fakeEndpoint{a, b}, withLongObjective)
		r.call("/stream/x", "Acacialift-Token-Usage", "150000,10")
		for _, e := range []*fakeEndpoint{a, b} {
			Expect(e.connectionCount()).To(Equal(len(e.controlBodies()) + len(e.requests())))
		}
		Expect(len(a.controlBodies()) + len(b.controlBodies())).To(BeNumerically(">=", 2))
	})
})

package entry_test

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/testkit"
)

var _ = Describe("an invalid status", func() {
	for _, status := range testkit.InvalidStatuses {
		line := "HTTP/1.1 " + status + "\r\n"
		// Guards against a stream or a response with a status that nobody knows, against one that counts as interim, and against a second
		// run of the request.
		It("is never passed on: "+status, func() {
			for _, response := range []string{
				line + sealedHeaders + "Content-Type: text/event-stream\r\nContent-Length: 2\r\n\r\nno",
				line + "\r\n" + sealedResponse("no"),
				line + sealedHeaders + "Acacialift-Not-Executed: 1\r\nServer-Leaving: 1\r\nRetry-After: 5\r\nContent-Length: 0\r\n\r\n",
			} {
				for _, path := range []string{"/unsafe/", "/stream/"} {
					a, b := newEndpoint(respondAndClose(response)), newEndpoint(respondAndClose(response))
					got := newRig([]*fakeEndpoint{a, b}).call(path)
					Expect(got.err).NotTo(HaveOccurred())
					Expect(got.status).To(Equal(http.StatusBadGateway))
					Expect(got.body).NotTo(Equal("no"))
					Expect(totalRequests(a, b)).To(Equal(1))
				}
			}
		})

		// Guards against the end of a response without length that an answer confirms which nobody understands.
		It("of a health check confirms nothing: "+status, func() {
			e := newEndpoint(respondAndClose(unframedTextHead + "part"))
			e.checkResponse = line + "Acacialift-Instance-Id: %SELF\r\nContent-Length: 0\r\n\r\n"
			Expect(newRig([]*fakeEndpoint{e}).call("/once/").status).To(Equal(http.StatusBadGateway))
		})

		// Guards against the end of a stream that such an answer to a request for a report confirms.
		It("of a report confirms nothing: "+status, func() {
			e := newEndpoint(respondAndClose(unframedHead + events(1, 3)))
			e.checkResponse = line + "Acacialift-Instance-Id: %SELF\r\nContent-Length: 22\r\n\r\n{\"born\":1770000000000}"
			Expect(newRig([]*fakeEndpoint{e}, withEngine).call("/stream/").err).To(HaveOccurred())
		})
	}

	// Guards against memory that counts as reserved, and against statements of an endpoint that are taken from such a response to an order.
	DescribeTable("of an order reserves nothing", func(status int) {
		var endpoints []*fakeEndpoint
		for range 2 {
			e := newEndpoint(respond(streamHead + chunk(events(1, 3)) + lastChunk))
			e.controlStatus, e.controlHeader = status, "Server-Leaving: 1\r\n"
			endpoints = append(endpoints, e)
		}
		var log testkit.LogBuffer
		r := newRig(endpoints, withLongObjective, withLog(&log))
		got := r.call("/stream/x", "Acacialift-Token-Usage", "150000,100")
		Expect(got.status).NotTo(Equal(http.StatusOK))
		Expect(totalRequests(endpoints...)).To(BeZero())
		Expect(strings.Contains(log.String(), "endpoint_leaving")).To(BeFalse())
	}, Entry("600", 600), Entry("999", 999), Entry("two digits", 20), Entry("four digits", 2000))
})

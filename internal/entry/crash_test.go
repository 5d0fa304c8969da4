package entry_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/testkit"
)

const (
	partsHeader = "Acacialift-Prompt-Prefix"
	// systemPart is the first part of all prompts, and crashPart the part under which endpoints crash.
	systemPart = "a1979a9a31e:40"
	crashPart  = "12ca9047f126:900"
)

// crashingEngines are model endpoints that crash when they begin to respond to a prompt with crashPart. They serve all other
// prompts.
type crashingEngines struct {
	endpoints []*fakeEndpoint
	// arrivals counts the requests with crashPart that have reached an endpoint.
	arrivals atomic.Int32
}

func newCrashingEngines(count int) *crashingEngines {
	engines := &crashingEngines{}
	for range count {
		var e *fakeEndpoint
		e = newEndpoint(func(conn net.Conn, r receivedRequest) {
			if !strings.Contains(r.request.Header.Get(partsHeader), crashPart) {
				respond(wholeStream)(conn, r)
				return
			}
			engines.arrivals.Add(1)
			respond(streamHead)(conn, r)
			e.crash()
		})
		engines.endpoints = append(engines.endpoints, e)
	}
	return engines
}

// wholeStream is a stream of one event.
var wholeStream = streamHead + chunk(streamEvent(1)) + "0\r\n\r\n"

// callWithParts sends a request whose prompt has the given shared parts and a last part of its own.
func (r *rig) callWithParts(own int, shared ...string) reply {
	parts := append(shared, fmt.Sprintf("f%07x:120", own))
	return r.call("/resume/", partsHeader, strings.Join(parts, ","), "Acacialift-Token-Usage", "1060,80")
}

var _ = Describe("an endpoint that crashes before the first event of a request", func() {
	// Guards against logs that do not tell which prompts crash endpoints.
	It("is logged with the parts of the prompt", func() {
		engines := newCrashingEngines(2)
		var log testkit.LogBuffer
		r := newRig(engines.endpoints, withEngine, withLog(&log))
		r.callWithParts(1, systemPart, crashPart)
		Expect(log.String()).To(ContainSubstring(`"responding":true,"team":"","parts":"a1979a9a31e,12ca9047f126","message":"endpoint_crashed"`))
		Expect(log.String()).To(ContainSubstring(`"attempt_events":0`))
	})

	// Guards against a crash that is concluded from a connection that ends for another reason.
	DescribeTable("is not concluded from", func(script func(net.Conn, receivedRequest)) {
		var log testkit.LogBuffer
		r := newRig([]*fakeEndpoint{newEndpoint(script)}, withEngine, withLog(&log))
		r.callWithParts(1, systemPart, crashPart)
		Expect(log.String()).NotTo(ContainSubstring("endpoint_crashed"))
	},
		Entry("a response that is broken off after its head", respondAndClose(streamHead)),
		Entry("a connection that is reset after the head", respondAndReset(streamHead)),
		Entry("a connection that is closed without a response", respondAndClose("")),
		Entry("bytes that are no response", respondAndClose("rubbish\r\n\r\n")),
		Entry("a complete stream", respondAndClose(wholeStream)),
		Entry("a stream without length that ends with its connection",
			respondAndClose(strings.Replace(streamHead, "Transfer-Encoding: chunked\r\n", "", 1)+streamEvent(1))),
	)

	// Guards against a crash that is concluded from the end of an endpoint that had announced it.
	It("is not concluded from the end of an endpoint that was leaving", func() {
		var log testkit.LogBuffer
		var e *fakeEndpoint
		e = newEndpoint(func(conn net.Conn, r receivedRequest) {
			_, _ = io.WriteString(conn, strings.ReplaceAll(
				strings.Replace(streamHead, "\r\n", "\r\nServer-Leaving: 1\r\n", 1), "%ID", r.request.Header.Get("Acacialift-Request-Id")))
			e.crash()
		})
		r := newRig([]*fakeEndpoint{e}, withEngine, withLog(&log))
		r.callWithParts(1, systemPart, crashPart)
		Expect(log.String()).To(ContainSubstring("endpoint_leaving"))
		Expect(log.String()).NotTo(ContainSubstring("endpoint_crashed"))
	})
})

var _ = Describe("a part of prompts under which endpoints crash", func() {
	// maxArrivals is the number of requests with the part that may reach endpoints: five until the part must be known, and
	// three later.
	const maxArrivals = 8

	// Guards against requests that crash one endpoint after the other because each crash is attributed to the endpoint alone
	// (issue BUDGET of 4 December 2026).
	It("reaches few endpoints, and requests without it are served", func() {
		const calls = 20
		engines := newCrashingEngines(24)
		r := newRig(engines.endpoints, withEngine)
		served := 0
		for i := range calls {
			if r.callWithParts(2*i, systemPart).body == streamEvent(1) {
				served++
			}
			Expect(r.callWithParts(2*i+1, systemPart, crashPart).status).NotTo(Equal(200))
		}
		Expect(engines.arrivals.Load()).To(BeNumerically("<=", maxArrivals))
		Expect(served).To(Equal(calls))
	})
})

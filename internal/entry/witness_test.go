package entry_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/testkit"
)

// kills is the number of kills of a test.
const kills = 33

// killCount counts the answers of killed endpoints.
type killCount struct {
	// wrong answers looked complete; those of wrongWitnessed although their end was confirmed on a connection of the killed endpoint.
	wrong, wrongWitnessed, witnessed int
}

// count counts an answer by the log lines after the given position, and returns the position after them.
func (c *killCount) count(got reply, log *testkit.LogBuffer, position int) int {
	text := log.String()
	isWitnessed := strings.Contains(text[position:], `"witnessed":true`)
	isWrong := got.err == nil && got.status == http.StatusOK
	if isWitnessed {
		c.witnessed++
	}
	if isWrong {
		c.wrong++
	}
	if isWrong && isWitnessed {
		c.wrongWitnessed++
	}
	return len(text)
}

// expect expects that no answer was wrong whose end was confirmed on a connection, and that most were confirmed so. On a busy machine
// such a connection may come too late.
func (c *killCount) expect() {
	GinkgoHelper()
	GinkgoWriter.Printf("wrong complete answers in %d kills: %d, with a witness %d of %d\n", kills, c.wrong, c.wrongWitnessed, c.witnessed)
	Expect(c.wrongWitnessed).To(BeZero())
	Expect(c.witnessed).To(BeNumerically(">=", kills/2))
}

// killAfter returns a script that sends a part of a response and, after a pause, ends the endpoint as the end of its process does: all
// connections are closed. A successor under the same id listens at once, on a new listener or, if it is inherited, on the same one, whose
// queue of connections survives.
func killAfter(e **fakeEndpoint, response string, pause time.Duration, inherited bool) func(net.Conn, receivedRequest) {
	return func(conn net.Conn, r receivedRequest) {
		respond(response)(conn, r)
		time.Sleep(pause)
		(*e).restart(inherited)
	}
}

func (e *fakeEndpoint) restart(inherited bool) {
	defer GinkgoRecover()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !inherited {
		_ = e.listener.Close()
	}
	for open := range e.open {
		_ = open.Close()
	}
	if inherited {
		return
	}
	listener, err := net.Listen("tcp", e.listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	e.listener = listener
	go e.accept(listener)
}

var _ = Describe("a response without length of a plain endpoint that is killed and listens again at once under its id", func() {
	// Guards against a part of a response, or of a stream, that ends as complete: the health response of the successor states the same id.
	for _, path := range []string{"/once/", "/stream/"} {
		for _, pause := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
			inherited := pause == 50*time.Millisecond
			It(fmt.Sprintf("is not complete: %s, killed %v after the part, inherited listener %t", path, pause, inherited), func() {
				part := unframedTextHead + "a part"
				if path == "/stream/" {
					part = unframedHead + events(1, 3)
				}
				var e *fakeEndpoint
				e = newEndpoint(respondAndClose(unframedTextHead+"whole"), killAfter(&e, part, pause, inherited))
				DeferCleanup(func() {
					e.mu.Lock()
					defer e.mu.Unlock()
					_ = e.listener.Close()
				})
				var log testkit.LogBuffer
				r := newRig([]*fakeEndpoint{e}, withLog(&log))
				Expect(r.call("/once/").body).To(Equal("whole"))
				sent := 0
				var c killCount
				for range kills {
					got := r.call(path)
					sent = c.count(got, &log, sent)
				}
				c.expect()
			})
		}
	}

	// Guards against the first such response of a service, which is not expected.
	It("is not complete if no response of the service had no length before", func() {
		var c killCount
		for range kills {
			var e *fakeEndpoint
			e = newEndpoint(killAfter(&e, unframedTextHead+"a part", 20*time.Millisecond, true))
			var log testkit.LogBuffer
			got := newRig([]*fakeEndpoint{e}, withLog(&log)).call("/once/")
			c.count(got, &log, 0)
		}
		c.expect()
	})

	// Guards against a long stream whose last witness is too old to show anything.
	It("is not complete after seconds of a stream", func() {
		var e *fakeEndpoint
		e = newEndpoint(func(conn net.Conn, r receivedRequest) {
			respond(unframedHead)(conn, r)
			for id := range 5 {
				respond(streamEvent(id+1))(conn, r)
				time.Sleep(500 * time.Millisecond)
			}
			killAfter(&e, streamEvent(6), 20*time.Millisecond, false)(conn, r)
		})
		Expect(newRig([]*fakeEndpoint{e}).call("/stream/").err).To(HaveOccurred())
	})
})

var _ = Describe("a sound response without length of a plain endpoint", func() {
	sound := func(pause time.Duration) func(net.Conn, receivedRequest) {
		return func(conn net.Conn, r receivedRequest) {
			respond(unframedTextHead+"who")(conn, r)
			time.Sleep(pause)
			respondAndClose("le")(conn, r)
		}
	}
	// Guards against sound responses that are refused because of the connection on which they are confirmed.
	DescribeTable("stays complete", func(pause time.Duration, prepare func(*fakeEndpoint)) {
		e := newEndpoint(sound(pause))
		prepare(e)
		r := newRig([]*fakeEndpoint{e})
		for range 5 {
			got := r.call("/once/")
			Expect(got.status).To(Equal(http.StatusOK))
			Expect(got.body).To(Equal("whole"))
		}
	},
		Entry("at once", time.Duration(0), func(*fakeEndpoint) {}),
		Entry("in parts", 30*time.Millisecond, func(*fakeEndpoint) {}),
		Entry("of a busy endpoint", 30*time.Millisecond, func(e *fakeEndpoint) { e.checkDelay = 300 * time.Millisecond }),
		Entry("of one that rejects the check", 30*time.Millisecond, func(e *fakeEndpoint) {
			e.checkResponse = "HTTP/1.1 503 X\r\nAcacialift-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		}),
	)

	// Guards against a response that is refused because the endpoint has closed a connection on which nothing was sent.
	It("stays complete if the endpoint closes idle connections", func() {
		var e *fakeEndpoint
		e = newEndpoint(func(conn net.Conn, r receivedRequest) {
			respond(unframedTextHead+"who")(conn, r)
			time.Sleep(2200 * time.Millisecond)
			e.mu.Lock()
			for open := range e.open {
				if open != conn {
					_ = open.Close()
				}
			}
			e.mu.Unlock()
			respondAndClose("le")(conn, r)
		})
		Expect(newRig([]*fakeEndpoint{e}).call("/once/").body).To(Equal("whole"))
	})
})

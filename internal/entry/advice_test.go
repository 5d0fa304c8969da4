package entry_test

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/entry"
	"github.com/acacialift/acacialift/internal/fleet"
)

// leavingWhole is an answer of an endpoint that leaves.
func leavingWhole(body string) string {
	return strings.Replace(whole(body), "\r\n", "\r\nServer-Leaving: 1\r\n", 1)
}

// pair returns two endpoints. The one that is reached first gives the answer, all later requests are answered "here".
// The function returns that endpoint.
func pair(answer string) (endpoints []*fakeEndpoint, first func() *fakeEndpoint) {
	var mu sync.Mutex
	at := -1
	for i := range 2 {
		endpoints = append(endpoints, newEndpoint(func(conn net.Conn, a arrival) {
			mu.Lock()
			isFirst := at < 0
			if isFirst {
				at = i
			}
			mu.Unlock()
			if isFirst {
				text(answer)(conn, a)
				return
			}
			text(whole("here"))(conn, a)
		}))
	}
	return endpoints, func() *fakeEndpoint {
		mu.Lock()
		defer mu.Unlock()
		return endpoints[at]
	}
}

func resting(seconds string) string {
	return "HTTP/1.1 503 X\r\nAcacialift-Not-Executed: 1\r\nRetry-After: " + seconds + "\r\nContent-Length: 0\r\n\r\n"
}

var _ = Describe("an endpoint that says that it leaves", func() {
	const calls = 12

	// Guards against requests to a server that will be gone before it answers, while the list of endpoints lags.
	It("gets no further request, whatever the list says of this incarnation", func() {
		endpoints, leaving := pair(leavingWhole("bye"))
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
		Expect(leaving().reached()).To(HaveLen(1))
	})

	// Guards against a server that is avoided for good because its predecessor of the same id has left.
	It("is used again once it has started anew", func() {
		e := newEndpoint(text(leavingWhole("bye")), text(whole("again")))
		r := newRig([]*fakeEndpoint{e})
		Expect(r.call("/safe/").body).To(Equal("bye"))
		Expect(r.call("/safe/").status).To(Equal(503))
		r.state.PutEndpoint(&fleet.Endpoint{
			ID: "i-0", Started: 2, Service: "pool", Address: e.listener.Addr().String(), Domain: "yard-1", Slots: 4,
		})
		Expect(r.call("/safe/").body).To(Equal("again"))
	})

	// Guards against a header that is read in some kinds of answers only.
	DescribeTable("is believed in every kind of answer", func(answer string) {
		endpoints, leaving := pair(answer)
		r := newRig(endpoints)
		for range calls {
			r.call("/safe/")
		}
		Expect(leaving().reached()).To(HaveLen(1))
	},
		Entry("a refusal", "HTTP/1.1 503 X\r\nAcacialift-Not-Executed: 1\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"),
		Entry("a failure of its own", "HTTP/1.1 500 X\r\nServer-Leaving: 1\r\n"+sealed+"Content-Length: 0\r\n\r\n"),
	)
})

var _ = Describe("an endpoint that asks for a rest", func() {
	const calls = 12

	// Guards against requests that keep a server from recovering: none may reach it until its time is over.
	It("gets no request meanwhile, and the others go on", func() {
		endpoints, asked := pair(resting("30"))
		r := newRig(endpoints)
		for range calls {
			Expect(r.call("/safe/").body).To(Equal("here"))
		}
		Expect(asked().reached()).To(HaveLen(1))
	})

	// Guards against a caller that is told to come back before any endpoint may be asked again.
	It("makes this instance refuse with the time that is left, if there is no other one", func() {
		e := newEndpoint(text(resting("30.5")))
		r := newRig([]*fakeEndpoint{e})
		r.call("/safe/")
		refused := r.call("/safe/")
		Expect(refused.status).To(Equal(503))
		seconds, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(seconds).To(BeNumerically("~", 30, 1))
		Expect(e.reached()).To(HaveLen(1))
	})

	// Guards against an endpoint that is lost for good after a short rest.
	It("is asked again after its time", func() {
		e := newEndpoint(text(resting("0.05")), text(whole("again")))
		r := newRig([]*fakeEndpoint{e})
		r.call("/safe/")
		Eventually(func() string { return r.call("/safe/").body }, eventLimit).Should(Equal("again"))
	})
})

// endless sends a head and goes on sending until the connection closes. It reports the number of bytes sent.
func endless(head, piece string, sent chan<- int) func(net.Conn, arrival) {
	return func(conn net.Conn, a arrival) {
		text(head)(conn, a)
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

var _ = Describe("bytes without end", func() {
	const length = "HTTP/1.1 200 OK\r\n" + sealed
	piece := strings.Repeat("x", 1000)
	forms := map[string]struct{ head, piece string }{
		"instead of a head":      {"", piece},
		"in a header":            {"HTTP/1.1 200 OK\r\nX: ", piece},
		"in headers":             {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"in interim answers":     {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"in a body by length":    {length + "Content-Length: 999999999999\r\n\r\n", piece},
		"in a body until close":  {length + "\r\n", piece},
		"in chunks":              {length + "Transfer-Encoding: chunked\r\n\r\n", chunk(piece)},
		"in a chunk extension":   {length + "Transfer-Encoding: chunked\r\n\r\n5;", piece},
		"in a trailer":           {length + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
		"in one event":           {streamHead, chunk(piece)},
		"after another's answer": {"HTTP/1.1 200 OK\r\nAcacialift-Request-Id: other\r\nContent-Length: 999999999999\r\n\r\n", piece},
	}
	for name, form := range forms {
		// Guards against an instance whose memory is filled by one faulty server, and against a request that hangs on it.
		It("end with their connection and leave the memory of answers free: "+name, func() {
			sent := make(chan int, 2)
			e := newEndpoint(endless(form.head, form.piece, sent))
			r := newRig([]*fakeEndpoint{e}, withHeldBytes(1<<20))
			got := r.call("/unsafe/")
			Expect(got.status == 502 || got.err != nil).To(BeTrue())
			Eventually(sent, eventLimit).Should(Receive())
			Expect(entry.HeldBytes(r.handler)).To(BeZero())
		})
	}

	// Guards against ten faulty servers at once that take the memory of a small machine, and keep sound answers from being held.
	It("from many servers at once stay within the memory for answers, and usual answers still pass", func() {
		const servers, bound = 10, 1 << 20
		sent := make(chan int, servers)
		var endpoints []*fakeEndpoint
		for range servers {
			// A body that stalls before its bound is reached keeps its memory.
			endpoints = append(endpoints, newEndpoint(func(conn net.Conn, a arrival) {
				text(length+fmt.Sprintf("Content-Length: %d\r\n\r\n", bound))(conn, a)
				_, _ = io.WriteString(conn, strings.Repeat("x", bound/5))
				silent(conn, a)
			}))
		}
		r := newRig(endpoints, withHeldBytes(bound))
		for range servers {
			go func() {
				defer GinkgoRecover()
				r.call("/unsafe/", "Acacialift-Deadline-Ms", "1500")
				sent <- 1
			}()
		}
		Eventually(func() int { return total(endpoints...) }, eventLimit).Should(Equal(servers))
		for range 50 {
			Expect(entry.HeldBytes(r.handler)).To(BeNumerically("<=", bound))
			time.Sleep(time.Millisecond)
		}
		good := newEndpoint(text(whole(strings.Repeat("y", 9000))))
		r.state.PutEndpoint(&fleet.Endpoint{ID: "i-good", Service: "pool", Address: good.listener.Addr().String(), Domain: "yard-1", Slots: 100})
		Eventually(func() int { return len(r.call("/safe/").body) }, eventLimit).Should(Equal(9000))
		for range servers {
			Eventually(sent, eventLimit).Should(Receive())
		}
		Eventually(func() int64 { return entry.HeldBytes(r.handler) }, eventLimit).Should(BeZero())
	})
})

// withHeldBytes bounds the memory for held answers.
func withHeldBytes(bytes int64) rigOption {
	return func(_ *fleet.Catalog, options *entry.HandlerOptions) { options.MaxBufferedBytes = bytes }
}

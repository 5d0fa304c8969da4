package httpserver_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/acacialift/acacialift/internal/httpserver"
	"github.com/acacialift/acacialift/internal/outcome"
	"github.com/acacialift/acacialift/internal/testkit"
)

func TestServer(t *testing.T) { testkit.RunSpecs(t, "httpserver") }

const (
	// eventTimeout bounds the wait for an event. It only limits the duration of a failing test.
	eventTimeout = 30 * time.Second
	// shortTimeout is the timeout under test in specs that wait until it expires.
	shortTimeout = 50 * time.Millisecond
	// moreThanSocketBuffers is a number of bytes that exceeds the kernel buffers of a loopback connection.
	moreThanSocketBuffers = 64 << 20
	get                   = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
)

func serve(options httpserver.Options) *httpserver.Server {
	options.Address = "127.0.0.1:0"
	server, err := httpserver.New(options)
	Expect(err).NotTo(HaveOccurred())
	before := runtime.NumGoroutine()
	served := make(chan error, 1)
	go func() { served <- server.Serve(context.Background()) }()
	DeferCleanup(func() {
		server.Close()
		Eventually(served, eventTimeout).Should(Receive(BeNil()))
		Eventually(server.Connections, eventTimeout).Should(BeZero())
		Eventually(server.BufferedBytes, eventTimeout).Should(BeZero())
		Eventually(runtime.NumGoroutine, eventTimeout).Should(BeNumerically("<=", before))
	})
	return server
}

// peer is a client that sends raw bytes.
type peer struct {
	*net.TCPConn
	reader *bufio.Reader
}

func dial(server *httpserver.Server) *peer {
	raw, err := net.Dial("tcp", server.Address())
	Expect(err).NotTo(HaveOccurred())
	Expect(raw.SetDeadline(time.Now().Add(eventTimeout))).To(Succeed())
	DeferCleanup(func() { _ = raw.Close() })
	return &peer{TCPConn: raw.(*net.TCPConn), reader: bufio.NewReader(raw)}
}

func (p *peer) send(text string) *peer {
	_, err := io.WriteString(p, text)
	Expect(err).NotTo(HaveOccurred())
	return p
}

// receive reads one response with net/http's parser.
func (p *peer) receive(method string) (*http.Response, string) {
	response, err := http.ReadResponse(p.reader, &http.Request{Method: method})
	Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response, string(body)
}

func (p *peer) expectRefusal(status int, code string) {
	GinkgoHelper()
	response, body := p.receive("")
	Expect(response.StatusCode).To(Equal(status), body)
	Expect(response.Header.Get(outcome.HeaderName)).To(Equal("not_run"))
	Expect(response.Close).To(BeTrue())
	var parsed outcome.Body
	Expect(json.Unmarshal([]byte(body), &parsed)).To(Succeed())
	Expect(parsed.Error.Code).To(Equal(code))
	Expect(parsed.Error.Stage).To(Equal(outcome.StageAdmission))
	Expect(p.reader.ReadByte()).Error().To(Equal(io.EOF))
}

// expectReset checks that the connection ends by a reset, so that no caller can mistake the response for a complete one.
func (p *peer) expectReset() {
	GinkgoHelper()
	_, err := io.ReadAll(p.reader)
	Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
}

func post(headers, body string) string {
	return "POST / HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n" + body
}

func withLength(body string) string {
	return post(fmt.Sprintf("Content-Length: %d\r\n", len(body)), body)
}

var chunked = "Transfer-Encoding: chunked\r\n"

var _ = Describe("refusals", func() {
	// Guards against request smuggling by a request that two parsers interpret differently, against unbounded buffers, and
	// against a response that is lost to a reset because the remaining request bytes were left unread.
	DescribeTable("are typed responses that close the connection", func(request string, status int, code string) {
		var calls atomic.Int64
		server := serve(httpserver.Options{
			MaxBodyBytes: 1000,
			Handler:      http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }),
		})
		dial(server).send(request).expectRefusal(status, code)
		Expect(calls.Load()).To(BeZero())
		Expect(server.BufferedBytes()).To(BeZero())
	},
		Entry("header over the limit", "GET / HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", 1<<20), 431, "header_too_large"),
		Entry("target over the limit", "GET /"+strings.Repeat("x", 17<<10), 431, "header_too_large"),
		Entry("body over the limit", withLength(strings.Repeat("x", 4<<20)), 413, "body_too_large"),
		Entry("chunks over the limit", post(chunked, "3e8\r\n"+strings.Repeat("x", 1000)+"\r\n1\r\nx\r\n0\r\n\r\n"), 413, "body_too_large"),
		Entry("one chunk over the limit", post(chunked, "400000\r\n"+strings.Repeat("x", 4<<20)), 413, "body_too_large"),
		Entry("two different lengths", post("Content-Length: 1\r\nContent-Length: 2\r\n", "ab"), 400, "malformed_request"),
		Entry("two equal lengths", post("Content-Length: 1\r\nContent-Length: 1\r\n", "a"), 400, "malformed_request"),
		Entry("length list", post("Content-Length: 1, 1\r\n", "a"), 400, "malformed_request"),
		Entry("signed length", post("Content-Length: +1\r\n", "a"), 400, "malformed_request"),
		Entry("empty length", post("Content-Length:\r\n", ""), 400, "malformed_request"),
		Entry("length above 63 bits", post("Content-Length: 99999999999999999999\r\n", ""), 400, "malformed_request"),
		Entry("length and chunked encoding", post("Content-Length: 1\r\n"+chunked, "0\r\n\r\n"), 400, "malformed_request"),
		Entry("two transfer encodings", post(chunked+chunked, "0\r\n\r\n"), 400, "malformed_request"),
		Entry("unknown transfer encoding", post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"), 400, "malformed_request"),
		Entry("chunked encoding in HTTP/1.0", "POST / HTTP/1.0\r\n"+chunked+"\r\n0\r\n\r\n", 400, "malformed_request"),
		Entry("chunk size 0x5", post(chunked, "0x5\r\nhello\r\n0\r\n\r\n"), 400, "malformed_request"),
		Entry("chunk size 5g", post(chunked, "5g\r\nhello\r\n0\r\n\r\n"), 400, "malformed_request"),
		Entry("negative chunk size", post(chunked, "-5\r\nhello\r\n0\r\n\r\n"), 400, "malformed_request"),
		Entry("empty chunk size", post(chunked, "\r\nhello\r\n0\r\n\r\n"), 400, "malformed_request"),
		Entry("chunk size above 64 bits", post(chunked, "10000000000000005\r\nhello\r\n"), 400, "malformed_request"),
		Entry("chunk line with bare LF", post(chunked, "5\nhello\r\n0\r\n\r\n"), 400, "malformed_request"),
		Entry("chunk longer than its size", post(chunked, "4\r\nhello\r\n0\r\n\r\n"), 400, "malformed_request"),
		Entry("trailer line without colon", post(chunked, "0\r\nno header\r\n\r\n"), 400, "malformed_request"),
		Entry("space before the colon", post("Content-Length : 1\r\n", "a"), 400, "malformed_request"),
		Entry("space in a header name", post("X Y: 1\r\n", ""), 400, "malformed_request"),
		Entry("folded header line", post("X: 1\r\n Content-Length: 5\r\n", ""), 400, "malformed_request"),
		Entry("header line without colon", post("X\r\n", ""), 400, "malformed_request"),
		Entry("NUL in a value", post("X: a\x00b\r\n", ""), 400, "malformed_request"),
		Entry("CR in a value", post("X: a\rb\r\n", ""), 400, "malformed_request"),
		Entry("bare LF", "GET / HTTP/1.1\nHost: a\n\n", 400, "malformed_request"),
		Entry("two hosts", post("Host: b\r\n", ""), 400, "malformed_request"),
		Entry("no host", "GET / HTTP/1.1\r\n\r\n", 400, "malformed_request"),
		Entry("two authorizations", post("Authorization: a\r\nAuthorization: b\r\n", ""), 400, "malformed_request"),
		Entry("lower-case method", "get / HTTP/1.1\r\nHost: a\r\n\r\n", 400, "malformed_request"),
		Entry("unknown method", "BREW / HTTP/1.1\r\nHost: a\r\n\r\n", 400, "malformed_request"),
		Entry("text after the version", "GET / HTTP/1.1 x\r\nHost: a\r\n\r\n", 400, "malformed_request"),
		Entry("two spaces in the request line", "GET  / HTTP/1.1\r\nHost: a\r\n\r\n", 400, "malformed_request"),
		Entry("bad escape in the target", "GET /%zz HTTP/1.1\r\nHost: a\r\n\r\n", 400, "malformed_request"),
		Entry("byte outside ASCII in the target", "GET /\xff HTTP/1.1\r\nHost: a\r\n\r\n", 400, "malformed_request"),
		Entry("TLS record instead of HTTP", "\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 400, "malformed_request"),
		Entry("HTTP/2.0", "GET / HTTP/2.0\r\nHost: a\r\n\r\n", 505, "unsupported_version"),
		Entry("unknown expectation", post("Expect: tea\r\nContent-Length: 1\r\n", "a"), 417, "unsupported_expectation"),
	)

	// Guards against a sender that occupies memory indefinitely by sending its request very slowly.
	DescribeTable("end slow requests", func(request string) {
		server := serve(httpserver.Options{HeadTimeout: shortTimeout, RequestTimeout: 2 * shortTimeout, Handler: echo()})
		dial(server).send(request).expectRefusal(http.StatusRequestTimeout, "request_too_slow")
	},
		Entry("in the header", "POST / HTTP/1.1\r\nHo"),
		Entry("in the body", post("Content-Length: 9\r\n", "half")),
		Entry("in a chunk", post(chunked, "9\r\nhalf")),
	)

	// Guards against a refusal that is sent before the responses to earlier requests.
	It("come after the responses to earlier pipelined requests", func() {
		server := serve(httpserver.Options{Handler: echo()})
		p := dial(server).send(withLength("first") + "BAD\r\n\r\n")
		_, body := p.receive("POST")
		Expect(body).To(Equal("first"))
		p.expectRefusal(http.StatusBadRequest, "malformed_request")
	})
})

func echo() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write(r.Body.(*httpserver.Body).Bytes())
	})
}

var _ = Describe("requests", func() {
	// Guards against a handler that runs on an incomplete request, and against leaked connections and reserved bytes.
	It("that are truncated at any byte never reach the handler", func() {
		var calls atomic.Int64
		server := serve(httpserver.Options{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) })})
		for _, request := range []string{withLength("hello"), post(chunked, "5\r\nhello\r\n3\r\nyou\r\n0\r\nT: v\r\n\r\n")} {
			for length := range len(request) {
				p := dial(server).send(request[:length])
				Expect(p.CloseWrite()).To(Succeed())
				Expect(io.ReadAll(p)).To(BeEmpty(), "truncated after %d bytes", length)
				Expect(p.Close()).To(Succeed())
			}
		}
		Eventually(server.Connections, eventTimeout).Should(BeZero())
		Expect(server.BufferedBytes()).To(BeZero())
		Expect(calls.Load()).To(BeZero())
	})

	// Guards against bytes that are lost or duplicated at the boundaries of packets or chunks.
	It("arrive complete in pieces of any size", func() {
		server := serve(httpserver.Options{Handler: echo()})
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			body := strings.Repeat("0123456789", rapid.IntRange(0, 2000).Draw(t, "tens"))
			boundary := rapid.IntRange(0, len(body)).Draw(t, "chunk boundary")
			request := withLength(body)
			if boundary > 0 && boundary < len(body) {
				request = post(chunked, fmt.Sprintf("%x;ext=1\r\n%s\r\n%X\r\n%s\r\n0\r\n\r\n", boundary, body[:boundary], len(body)-boundary, body[boundary:]))
			}
			piece := rapid.IntRange(1, len(request)).Draw(t, "bytes per write")
			p := dial(server)
			defer p.Close()
			for len(request) > 0 {
				n := min(piece, len(request))
				p.send(request[:n])
				request = request[n:]
			}
			_, got := p.receive("POST")
			Expect(got).To(Equal(body))
		})
	})

	// Guards against unbounded memory when many callers send large bodies, and against bytes that are never released.
	It("above the shared budget of body bytes are refused until a handler has returned", func() {
		running, release := make(chan struct{}, 1), make(chan struct{})
		server := serve(httpserver.Options{MaxBufferedBytes: 10000, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			running <- struct{}{}
			<-release
		})})
		body := strings.Repeat("x", 8000)
		first := dial(server).send(withLength(body))
		Eventually(running, eventTimeout).Should(Receive())
		Expect(server.BufferedBytes()).To(BeEquivalentTo(8000))
		refused := dial(server).send(withLength(body))
		refused.expectRefusal(http.StatusServiceUnavailable, "body_budget_exhausted")
		Expect(server.BufferedBytes()).To(BeEquivalentTo(8000))
		close(release)
		first.receive("POST")
		Eventually(server.BufferedBytes, eventTimeout).Should(BeZero())
		response, _ := dial(server).send(withLength(body)).receive("POST")
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	})

	// Guards against responses in another order than the requests, and against an unbounded queue.
	It("that are pipelined get responses in order, up to the bound", func() {
		release := make(chan struct{})
		server := serve(httpserver.Options{MaxPipelined: 3, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			<-release
			echo().ServeHTTP(w, r)
		})})
		p := dial(server)
		for i := range 20 {
			p.send(withLength(fmt.Sprint("request ", i)))
		}
		// The kernel buffers cannot hold this many bytes. When they are sent, the server has read all requests.
		p.send(strings.Repeat("x", moreThanSocketBuffers))
		close(release)
		responses := 0
		for {
			response, body := p.receive("POST")
			if response.StatusCode != http.StatusOK {
				Expect(body).To(ContainSubstring("too_many_pipelined"))
				break
			}
			Expect(body).To(Equal(fmt.Sprint("request ", responses)))
			responses++
		}
		Expect(responses).To(Equal(4))
		Expect(p.reader.ReadByte()).Error().To(Equal(io.EOF))
	})

	// Guards against a caller that waits forever for the interim response before it sends the body.
	It("with Expect get the interim response before the body", func() {
		p := dial(serve(httpserver.Options{Handler: echo()})).send(post("Expect: 100-continue\r\nContent-Length: 2\r\n", ""))
		Expect(p.reader.ReadString('\n')).To(Equal("HTTP/1.1 100 Continue\r\n"))
		Expect(p.reader.ReadString('\n')).To(Equal("\r\n"))
		_, body := p.send("ok").receive("POST")
		Expect(body).To(Equal("ok"))
	})
})

var _ = Describe("connections", func() {
	// Guards against an idle timeout that cancels a request during a long prefill.
	It("have no idle timeout while a request runs", func() {
		const idle = 500 * time.Millisecond
		cancelled := make(chan bool, 1)
		server := serve(httpserver.Options{IdleTimeout: idle, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
				cancelled <- true
			case <-time.After(2 * idle):
				cancelled <- false
			}
		})})
		p := dial(server).send(get)
		Eventually(cancelled, eventTimeout).Should(Receive(BeFalse()))
		response, _ := p.receive("GET")
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(p.reader.ReadByte()).Error().To(Equal(io.EOF))
	})

	// Guards against an engine that continues a request whose caller has disconnected. The write timeout is too long to end
	// the connection.
	DescribeTable("cancel the request when the caller disconnects", func(leave func(*peer) error, handler func(http.ResponseWriter, chan<- struct{})) {
		started, cancelled := make(chan struct{}, 1), make(chan error, 1)
		server := serve(httpserver.Options{WriteTimeout: time.Hour, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			handler(w, started)
			<-r.Context().Done()
			cancelled <- httpserver.WriteError(w)
		})})
		p := dial(server).send(get)
		Eventually(started, eventTimeout).Should(Receive())
		Expect(leave(p)).To(Succeed())
		Eventually(cancelled, eventTimeout).Should(Receive())
	},
		Entry("by closing while the handler waits", (*peer).Close, signalStarted),
		Entry("by a reset while the handler waits", reset, signalStarted),
		Entry("by closing its sending side", (*peer).CloseWrite, signalStarted),
		Entry("by closing while a write blocks", (*peer).Close, writeUntilBlocked),
		Entry("by closing its sending side while a write blocks", (*peer).CloseWrite, writeUntilBlocked),
		Entry("after it sent more than may be pipelined", func(p *peer) error {
			p.send(strings.Repeat(get, 1000))
			return p.Close()
		}, signalStarted),
	)

	// Guards against a caller that stops reading and keeps its engine stream forever.
	It("end when the peer reads nothing within the write timeout", func() {
		failed := make(chan error, 1)
		server := serve(httpserver.Options{WriteTimeout: shortTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			writeUntilBlocked(w, make(chan struct{}, 1))
			<-r.Context().Done()
			failed <- httpserver.WriteError(w)
		})})
		p := dial(server).send(get)
		var netErr net.Error
		Eventually(failed, eventTimeout).Should(Receive(&netErr))
		Expect(netErr.Timeout()).To(BeTrue())
		p.expectReset()
	})

	// Guards against a slow but steady reader whose connection is reset because one write takes longer than the write timeout.
	It("stay open as long as the peer continues to read", func() {
		const steps = 64
		server := serve(httpserver.Options{WriteTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(bytes.Repeat([]byte("0123456789abcdef"), moreThanSocketBuffers/16))
		})})
		response, err := http.ReadResponse(dial(server).send(get).reader, nil)
		Expect(err).NotTo(HaveOccurred())
		part := make([]byte, moreThanSocketBuffers/steps)
		for range steps {
			time.Sleep(25 * time.Millisecond)
			Expect(io.ReadFull(response.Body, part)).To(Equal(len(part)))
			Expect(bytes.Count(part, []byte("0123456789abcdef"))).To(Equal(len(part) / 16))
		}
		Expect(response.Body.Read(part)).Error().To(Equal(io.EOF))
	})

	// Guards against one faulty handler that affects other connections, and against a truncated response that looks complete.
	DescribeTable("are reset without affecting others", func(fault func(http.ResponseWriter)) {
		panics := make(chan any, 1)
		server := serve(httpserver.Options{
			OnPanic: func(value any, _ []byte) { panics <- value },
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/fault" {
					fault(w)
				}
				echo().ServeHTTP(w, r)
			}),
		})
		other := dial(server).send(withLength("before"))
		other.receive("POST")
		dial(server).send("GET /fault HTTP/1.1\r\nHost: a\r\n\r\n").expectReset()
		_, body := other.send(withLength("after")).receive("POST")
		Expect(body).To(Equal("after"))
	},
		Entry("by a panic before the response", func(http.ResponseWriter) { panic("fault") }),
		Entry("by a panic within the response", func(w http.ResponseWriter) {
			writePartial(w)
			panic("fault")
		}),
		Entry("by a handler that ends its goroutine", func(http.ResponseWriter) { runtime.Goexit() }),
		Entry("by Abort", func(w http.ResponseWriter) {
			writePartial(w)
			Expect(httpserver.Abort(w)).To(BeTrue())
			Expect(w.Write([]byte("x"))).Error().To(Equal(httpserver.ErrAborted))
		}),
		Entry("by a response shorter than its declared length", func(w http.ResponseWriter) { w.Header().Set("Content-Length", "9") }),
	)

	// Guards against a caller that mistakes a response truncated by Close for a complete one.
	It("with a running request are reset by Close", func() {
		started := make(chan struct{}, 1)
		server := serve(httpserver.Options{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			writePartial(w)
			started <- struct{}{}
			<-r.Context().Done()
		})})
		p := dial(server).send(get)
		Eventually(started, eventTimeout).Should(Receive())
		server.Close()
		p.expectReset()
	})
})

func reset(p *peer) error {
	_ = p.SetLinger(0)
	return p.Close()
}

func signalStarted(_ http.ResponseWriter, started chan<- struct{}) { started <- struct{}{} }

// writeUntilBlocked writes more than the socket buffers hold; it returns when a write fails.
func writeUntilBlocked(w http.ResponseWriter, started chan<- struct{}) {
	started <- struct{}{}
	block := make([]byte, 1<<20)
	for {
		if _, err := w.Write(block); err != nil {
			return
		}
	}
}

func writePartial(w http.ResponseWriter) {
	_, _ = io.WriteString(w, "part")
	w.(http.Flusher).Flush()
}

var _ = Describe("responses", func() {
	// Guards against body bytes that a caller parses as the next response.
	DescribeTable("that must not have a body", func(method string, status int) {
		server := serve(httpserver.Options{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, "body")
			w.(http.Flusher).Flush()
		})})
		p := dial(server)
		for range 2 {
			p.send(method + " / HTTP/1.1\r\nHost: a\r\n\r\n")
			response, body := p.receive(method)
			Expect(response.StatusCode).To(Equal(status))
			Expect(body).To(BeEmpty())
		}
	},
		Entry("to HEAD", "HEAD", 200),
		Entry("of status 204", "GET", 204),
		Entry("of status 304", "GET", 304),
	)

	// Guards against header injection and against statuses that have no standard text.
	It("keep the message syntax for any header and status that the handler sets", func() {
		server := serve(httpserver.Options{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Bad", "a\r\nX-Injected: b")
			w.Header().Set("X-Good", "c")
			w.WriteHeader(499)
		})})
		response, _ := dial(server).send(get).receive("GET")
		Expect(response.StatusCode).To(Equal(499))
		Expect(response.Header).To(HaveKeyWithValue("X-Good", []string{"c"}))
		Expect(response.Header).NotTo(HaveKey("X-Injected"))
	})

	// Guards against a buffer that two connections share: the response writer of nbhttp continues to use a freed buffer when
	// a write of 64 KiB follows a smaller one.
	It("arrive complete for any sequence of writes and flushes", func() {
		const unit = 1 << 10
		server := serve(httpserver.Options{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			for _, size := range r.Body.(*httpserver.Body).Bytes() {
				_, _ = w.Write(bytes.Repeat([]byte{size}, int(size)*unit))
				if size%2 == 0 {
					w.(http.Flusher).Flush()
				}
			}
		})})
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			sizes := rapid.SliceOfN(rapid.ByteMax(130), 0, 8).Draw(t, "sizes in KiB")
			var want bytes.Buffer
			for _, size := range sizes {
				want.Write(bytes.Repeat([]byte{size}, int(size)*unit))
			}
			p := dial(server).send(withLength(string(sizes)))
			defer p.Close()
			_, body := p.receive("POST")
			Expect(body == want.String()).To(BeTrue())
		})
	})
})

var _ = Describe("Drain", func() {
	// Guards against a graceful shutdown that aborts a request, and against idle connections that keep it from finishing.
	It("closes idle connections and lets the running request end", func() {
		started, release := make(chan struct{}, 1), make(chan struct{})
		server := serve(httpserver.Options{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			started <- struct{}{}
			<-release
			echo().ServeHTTP(w, r)
		})})
		idle := dial(server)
		inProgress := dial(server).send(withLength("whole"))
		Eventually(started, eventTimeout).Should(Receive())
		Eventually(server.Connections, eventTimeout).Should(Equal(2))
		drained := make(chan error, 1)
		go func() { drained <- server.Drain(context.Background()) }()
		Expect(idle.reader.ReadByte()).Error().To(Equal(io.EOF))
		close(release)
		response, body := inProgress.receive("POST")
		Expect(body).To(Equal("whole"))
		Expect(response.Close).To(BeTrue())
		Expect(inProgress.reader.ReadByte()).Error().To(Equal(io.EOF))
		Expect(inProgress.Close()).To(Succeed())
		Eventually(drained, eventTimeout).Should(Receive(BeNil()))
	})

	// Guards against pipelined requests that are dropped because an earlier response carries "Connection: close".
	It("serves the waiting pipelined requests and the one being received", func() {
		started, release := make(chan struct{}, 3), make(chan struct{})
		server := serve(httpserver.Options{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			started <- struct{}{}
			<-release
			echo().ServeHTTP(w, r)
		})})
		p := dial(server).send(withLength("1") + withLength("2") + post("Content-Length: 1\r\n", ""))
		Eventually(started, eventTimeout).Should(Receive())
		Eventually(server.BufferedBytes, eventTimeout).Should(BeEquivalentTo(3))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(server.Drain(ctx)).To(MatchError(context.Canceled))
		p.send("3")
		close(release)
		for _, want := range []string{"1", "2", "3"} {
			response, body := p.receive("POST")
			Expect(body).To(Equal(want))
			Expect(response.Close).To(Equal(want == "3"))
		}
		Expect(p.Close()).To(Succeed())
		Expect(server.Drain(context.Background())).To(Succeed())
	})
})

package engine_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/testkit"
	"github.com/acacialift/acacialift/internal/wire"
)

func TestEngine(t *testing.T) { testkit.RunSpecs(t, "engine") }

const (
	// waitTimeout bounds how long a spec waits for something that normally happens much earlier.
	waitTimeout = 30 * time.Second
	// shortTimeout is long enough for an exchange on the loopback interface.
	shortTimeout = 50 * time.Millisecond
	// unbufferableBytes exceeds the kernel buffers of a loopback connection.
	unbufferableBytes = 64 << 20
)

// requestTo starts an endpoint that runs the script on each connection and then closes the connection. It returns a
// request to the endpoint. At the end of the spec, no goroutine of the client or of the endpoint may be left.
func requestTo(script func(conn *net.TCPConn)) engine.Request {
	before := runtime.NumGoroutine()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				script(conn.(*net.TCPConn))
			}()
		}
	}()
	DeferCleanup(func() {
		_ = listener.Close()
		Eventually(runtime.NumGoroutine, waitTimeout).Should(BeNumerically("<=", before))
	})
	return engine.Request{Method: "POST", Target: "/v1", Address: listener.Addr().String(), Body: []byte("{}")}
}

// readRequest reads one complete request with net/http's parser.
func readRequest(conn net.Conn) *http.Request {
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r
}

// respondWith returns a script that reads a request and writes the text.
func respondWith(text string) func(*net.TCPConn) {
	return func(conn *net.TCPConn) {
		readRequest(conn)
		_, _ = io.WriteString(conn, text)
	}
}

// recorder is a Receiver that counts the calls of OnHead and stores the response. The hooks may be nil.
type recorder struct {
	heads  int
	status int
	header http.Header
	body   strings.Builder
	onHead func() error
	onBody func() error
}

func (r *recorder) OnHead(status int, header http.Header) error {
	r.heads++
	r.status, r.header = status, header
	if r.onHead != nil {
		return r.onHead()
	}
	return nil
}

func (r *recorder) OnBody(data []byte) error {
	r.body.Write(data)
	if r.onBody != nil {
		return r.onBody()
	}
	return nil
}

// expectFailure expects an engine.Error and returns it.
func expectFailure(err error) *engine.Error {
	GinkgoHelper()
	var failed *engine.Error
	Expect(errors.As(err, &failed)).To(BeTrue(), "%v", err)
	return failed
}

const (
	ok      = "HTTP/1.1 200 OK\r\n"
	chunked = "Transfer-Encoding: chunked\r\n\r\n"
)

var _ = Describe("complete responses", func() {
	// Guards against a response whose body is received empty, too long or as a part of another response.
	DescribeTable("are received without bytes of a following response", func(method, response string, status int, want string) {
		req := requestTo(respondWith(response))
		req.Method = method
		r := &recorder{}
		Expect(engine.NewClient().Do(context.Background(), req, nil, r)).To(Succeed())
		Expect(r.heads).To(Equal(1))
		Expect(r.status).To(Equal(status))
		Expect(r.body.String()).To(Equal(want))
	},
		Entry("framed by Content-Length", "POST", ok+"Content-Length: 5\r\n\r\nhello", 200, "hello"),
		Entry("with Content-Length: 0", "POST", ok+"Content-Length: 0\r\n\r\n", 200, ""),
		Entry("framed by chunks", "POST", ok+chunked+"5;x=y\r\nhello\r\n6\r\n world\r\n0\r\n\r\n", 200, "hello world"),
		Entry("with a trailer", "POST", ok+"Trailer: T\r\n"+chunked+"2\r\nhi\r\n0\r\nT: a b\r\n\r\n", 200, "hi"),
		Entry("after 1xx responses", "POST", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nX: y\r\n\r\n"+ok+"Content-Length: 2\r\n\r\nhi", 200, "hi"),
		Entry("with an empty reason phrase", "POST", "HTTP/1.1 503 \r\nContent-Length: 2\r\n\r\nhi", 503, "hi"),
		Entry("without a reason phrase", "POST", "HTTP/1.1 503\r\nContent-Length: 2\r\n\r\nhi", 503, "hi"),
		Entry("followed by another one", "POST", ok+"Content-Length: 2\r\n\r\nhi"+ok+"Content-Length: 2\r\n\r\nno", 200, "hi"),
		Entry("followed by other bytes", "POST", ok+"Content-Length: 2\r\n\r\nhigh", 200, "hi"),
		Entry("to a HEAD request", "HEAD", ok+"Content-Length: 5\r\n\r\n", 200, ""),
		Entry("with status 204", "POST", "HTTP/1.1 204 No Content\r\n\r\n", 204, ""),
	)

	// Guards against a truncated response that looks complete. An endpoint can fail after any byte.
	DescribeTable("are distinguished from truncated responses", func(response, want string, end func(*net.TCPConn) error) {
		truncateAt := make(chan int, 1)
		req := requestTo(func(conn *net.TCPConn) {
			respondWith(response[:<-truncateAt])(conn)
			_ = end(conn)
		})
		for length := range len(response) {
			truncateAt <- length
			r := &recorder{}
			failed := expectFailure(engine.NewClient().Do(context.Background(), req, nil, r))
			Expect(errors.Is(failed, engine.ErrIncomplete)).To(BeTrue(), "truncated at byte %d: %v", length, failed)
			Expect(failed.BytesSent).To(BeTrue())
			Expect(want).To(HavePrefix(r.body.String()))
			Expect(failed.HeadReceived).To(Equal(r.heads == 1))
		}
		truncateAt <- len(response)
		r := &recorder{}
		Expect(engine.NewClient().Do(context.Background(), req, nil, r)).To(Succeed())
		Expect(r.body.String()).To(Equal(want))
	},
		Entry("by Content-Length, closed", ok+"Content-Length: 5\r\n\r\nhello", "hello", (*net.TCPConn).Close),
		Entry("by Content-Length, reset", ok+"Content-Length: 5\r\n\r\nhello", "hello", resetOnClose),
		Entry("by chunks, closed", ok+chunked+"5\r\nhello\r\na\r\n01234\r\n890\r\n0\r\n\r\n", "hello01234\r\n890", (*net.TCPConn).Close),
		Entry("by chunks, reset", ok+chunked+"5\r\nhello\r\n0\r\n\r\n", "hello", resetOnClose),
		Entry("with 1xx response and trailer", "HTTP/1.1 100 Continue\r\n\r\n"+ok+chunked+"1\r\nx\r\n0\r\nT: v\r\n\r\n", "x", (*net.TCPConn).Close),
	)
})

// resetOnClose makes the following close reset the connection. It first waits until the peer has closed the connection, but
// at most 1 ms: a reset discards bytes that the peer has not read yet, and the delay lets the peer read them.
func resetOnClose(conn *net.TCPConn) error {
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, _ = conn.Read(make([]byte, 1))
	return conn.SetLinger(0)
}

var _ = Describe("malformed responses", func() {
	// Guards against responses that another HTTP parser could split differently (response smuggling), and against responses
	// whose end cannot be determined.
	DescribeTable("are errors", func(response string) {
		r := &recorder{}
		failed := expectFailure(engine.NewClient().Do(context.Background(), requestTo(respondWith(response)), nil, r))
		Expect(failed.BytesSent).To(BeTrue())
		Expect(r.body.String()).To(BeEmpty())
	},
		Entry("neither length nor chunks", ok+"\r\nhello"),
		Entry("HTTP/1.0 response that ends with the connection", "HTTP/1.0 200 OK\r\n\r\nhello"),
		Entry("two lengths", ok+"Content-Length: 2\r\nContent-Length: 9\r\n\r\nhi"),
		Entry("two equal lengths", ok+"Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi"),
		Entry("negative length", ok+"Content-Length: -2\r\n\r\nhi"),
		Entry("length and chunks", ok+"Content-Length: 2\r\n"+chunked+"0\r\n\r\n"),
		Entry("unknown transfer encoding", ok+"Transfer-Encoding: gzip\r\n\r\nhi"),
		Entry("bad chunk size", ok+chunked+"0x0\r\n\r\n"),
		Entry("folded header", ok+"X: y\r\n Content-Length: 2\r\n\r\nhi"),
		Entry("space before the colon", ok+"Content-Length : 2\r\n\r\nhi"),
		Entry("head over the limit", ok+"X: "+strings.Repeat("x", 1<<20)+"\r\n\r\n"),
		Entry("too many headers", ok+strings.Repeat("X: y\r\n", 500)+"Content-Length: 2\r\n\r\nhi"),
		Entry("101 Switching Protocols", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"),
		Entry("endless 1xx responses", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 1000)),
		Entry("status of two digits", "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nhi"),
		Entry("HTTP/2.0", "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nhi"),
		Entry("not HTTP", "SSH-2.0-x\r\n"),
		Entry("nothing", ""),
	)

	// Guards against a malformed chunk that ends the body as if it were complete.
	It("deliver the body up to the malformed chunk and return its error", func() {
		r := &recorder{}
		err := engine.NewClient().Do(context.Background(), requestTo(respondWith(ok+chunked+"5\r\nhello\r\nzz\r\n")), nil, r)
		var malformed *wire.MalformedError
		Expect(errors.As(err, &malformed)).To(BeTrue(), "%v", err)
		Expect(r.body.String()).To(Equal("hello"))
		Expect(expectFailure(err).HeadReceived).To(BeTrue())
	})
})

var _ = Describe("requests", func() {
	// Guards against header injection. No byte of such a request may be sent.
	DescribeTable("that would change the message structure are rejected", func(change func(*engine.Request)) {
		req := engine.Request{Method: "POST", Target: "/", Address: "127.0.0.1:1", Header: http.Header{}}
		change(&req)
		failed := expectFailure(engine.NewClient().Do(context.Background(), req, nil, &recorder{}))
		Expect(errors.Is(failed, engine.ErrInvalidRequest)).To(BeTrue(), "%v", failed)
		Expect(failed.BytesSent).To(BeFalse())
	},
		Entry("CR LF in a value", func(r *engine.Request) { r.Header.Set("X", "a\r\nY: b") }),
		Entry("LF in a value", func(r *engine.Request) { r.Header.Set("X", "a\nb") }),
		Entry("NUL in a value", func(r *engine.Request) { r.Header.Set("X", "\x00") }),
		Entry("colon in a name", func(r *engine.Request) { r.Header["X: y"] = []string{"z"} }),
		Entry("space in the target", func(r *engine.Request) { r.Target = "/ HTTP/1.1" }),
		Entry("LF in the target", func(r *engine.Request) { r.Target = "/\n" }),
		Entry("target without a leading slash", func(r *engine.Request) { r.Target = "x" }),
		Entry("space in the method", func(r *engine.Request) { r.Method = "GET /" }),
		Entry("LF in the address", func(r *engine.Request) { r.Address = "a\nb" }),
	)

	// Guards against a caller's header that contradicts the framing of the forwarded request.
	It("have the client's Content-Length and no hop-by-hop headers of the caller", func() {
		received := make(chan *http.Request, 1)
		req := requestTo(func(conn *net.TCPConn) {
			received <- readRequest(conn)
			_, _ = io.WriteString(conn, ok+"Content-Length: 0\r\n\r\n")
		})
		req.Header = http.Header{
			"content-length":    {"99"},
			"Transfer-Encoding": {"chunked"},
			"Connection":        {"keep-alive"},
			"Expect":            {"100-continue"},
			"x-request-id":      {"7"},
		}
		Expect(engine.NewClient().Do(context.Background(), req, nil, &recorder{})).To(Succeed())
		var got *http.Request
		Eventually(received, waitTimeout).Should(Receive(&got))
		Expect(got.ContentLength).To(BeEquivalentTo(2))
		Expect(got.Close).To(BeTrue())
		Expect(got.Header).To(Equal(http.Header{"X-Request-Id": {"7"}, "Content-Length": {"2"}, "Connection": {"close"}}))
	})

	// Guards against a retry of a request that the endpoint may have received.
	It("fail with BytesSent false only if no byte was sent", func() {
		req := requestTo(func(conn *net.TCPConn) {
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.SetLinger(0)
		})
		Expect(expectFailure(engine.NewClient().Do(context.Background(), req, nil, &recorder{})).BytesSent).To(BeTrue())

		writeErr := errors.New("credit expired")
		failed := expectFailure(engine.NewClient().Do(context.Background(), req, func() error { return writeErr }, &recorder{}))
		Expect(failed.Err).To(Equal(writeErr))
		Expect(failed.BytesSent).To(BeFalse())

		ctx, cancel := context.WithCancel(context.Background())
		failed = expectFailure(engine.NewClient().Do(ctx, req, func() error { cancel(); return nil }, &recorder{}))
		Expect(failed.Err).To(Equal(context.Canceled))
		Expect(failed.BytesSent).To(BeFalse())

		closed, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(closed.Close()).To(Succeed())
		req.Address = closed.Addr().String()
		Expect(expectFailure(engine.NewClient().Do(context.Background(), req, nil, &recorder{})).BytesSent).To(BeFalse())
	})

	// Guards against a refusal that is lost because the endpoint sends it before it has read the whole prompt, while the
	// write of the prompt blocks.
	DescribeTable("receive a response that arrives before they are sent completely", func(end func(*net.TCPConn)) {
		req := requestTo(func(conn *net.TCPConn) {
			_, _ = conn.Read(make([]byte, 16))
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy")
			end(conn)
		})
		req.Body = make([]byte, unbufferableBytes)
		r := &recorder{}
		Expect(engine.NewClient().Do(context.Background(), req, nil, r)).To(Succeed())
		Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		Expect(r.body.String()).To(Equal("busy"))
	},
		Entry("from an endpoint that stops reading", holdWithoutReading),
		Entry("from an endpoint that closes immediately", func(*net.TCPConn) {}),
	)

	// Guards against a large prompt that is corrupted or truncated because it is sent in several pieces.
	It("arrive complete and unchanged", func() {
		read := make(chan int64, 1)
		req := requestTo(func(conn *net.TCPConn) {
			r, _ := http.ReadRequest(bufio.NewReader(conn))
			body, _ := io.ReadAll(r.Body)
			matching := int64(0)
			for i, c := range body {
				if c == byte(i/1000) {
					matching++
				}
			}
			read <- matching
			_, _ = io.WriteString(conn, ok+"Content-Length: 0\r\n\r\n")
		})
		req.Body = make([]byte, 4<<20+7)
		for i := range req.Body {
			req.Body[i] = byte(i / 1000)
		}
		Expect(engine.NewClient().Do(context.Background(), req, nil, &recorder{})).To(Succeed())
		Expect(<-read).To(BeEquivalentTo(len(req.Body)))
	})
})

// holdWithoutReading keeps the connection open and reads nothing until the peer has closed it. It writes a byte every
// millisecond, because the write fails when the peer has closed the connection.
func holdWithoutReading(conn *net.TCPConn) {
	for {
		if _, err := conn.Write([]byte{0}); err != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

var _ = Describe("the end of an exchange", func() {
	// Guards against an engine that keeps working on a cancelled request because its connection stays open.
	DescribeTable("a cancellation closes the connection", func(bodyBytes int, script func(conn *net.TCPConn, cancel func()), blockReceiver bool) {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		req := requestTo(func(conn *net.TCPConn) {
			script(conn, cancel)
			_, _ = io.Copy(io.Discard, conn)
			close(ended)
		})
		req.Body = make([]byte, bodyBytes)
		r := &recorder{}
		if blockReceiver {
			r.onBody = func() error {
				cancel()
				<-ended
				return nil
			}
		}
		failed := expectFailure(engine.NewClient().Do(ctx, req, nil, r))
		Expect(failed.Err).To(Equal(context.Canceled))
		Expect(failed.BytesSent).To(BeTrue())
		Eventually(ended, waitTimeout).Should(BeClosed())
	},
		Entry("while the request is sent", unbufferableBytes, func(conn *net.TCPConn, cancel func()) {
			_, _ = conn.Read(make([]byte, 16))
			cancel()
		}, false),
		Entry("before the head", 2, func(conn *net.TCPConn, cancel func()) {
			_, _ = conn.Read(make([]byte, 16))
			cancel()
		}, false),
		Entry("within the head", 2, func(conn *net.TCPConn, cancel func()) {
			_, _ = io.WriteString(conn, "HTTP/1.1 2")
			_, _ = conn.Read(make([]byte, 16))
			cancel()
		}, false),
		Entry("within the body", 2, func(conn *net.TCPConn, cancel func()) {
			_, _ = io.WriteString(conn, ok+chunked+"5\r\nhel")
			_, _ = conn.Read(make([]byte, 16))
			cancel()
		}, false),
		Entry("while the receiver blocks", 2, func(conn *net.TCPConn, _ func()) {
			_, _ = conn.Read(make([]byte, 16))
			_, _ = io.WriteString(conn, ok+chunked+"5\r\nhello\r\n")
		}, true),
	)

	// Guards against a request that waits until its time limit because its engine has stopped responding.
	DescribeTable("an endpoint that neither sends nor reads causes ErrIdleTimeout", func(bodyBytes int, response string) {
		returned := make(chan struct{})
		req := requestTo(func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, response)
			// A large request stays unread, so that its write blocks.
			if bodyBytes < unbufferableBytes {
				_, _ = io.Copy(io.Discard, conn)
			}
			<-returned
		})
		defer close(returned)
		req.Body = make([]byte, bodyBytes)
		client := engine.NewClientWithOptions(engine.ClientOptions{IdleTimeout: shortTimeout})
		failed := expectFailure(client.Do(context.Background(), req, nil, &recorder{}))
		Expect(errors.Is(failed, engine.ErrIdleTimeout)).To(BeTrue(), "%v", failed)
	},
		Entry("before the head", 2, ""),
		Entry("within the head", 2, "HTTP/1.1 2"),
		Entry("within a body of declared length", 2, ok+"Content-Length: 9\r\n\r\nhel"),
		Entry("within a chunk", 2, ok+chunked+"5\r\nhel"),
		Entry("that does not read the request", unbufferableBytes, ""),
	)

	// Guards against ErrIdleTimeout for an endpoint that only waits for a slow receiver.
	It("time in which the receiver blocks is not idle time", func() {
		const idle = time.Second
		blocked, sent := make(chan struct{}), make(chan struct{})
		req := requestTo(func(conn *net.TCPConn) {
			readRequest(conn)
			_, _ = io.WriteString(conn, ok+chunked+"1\r\na\r\n")
			<-blocked
			_, _ = io.WriteString(conn, "1\r\nb\r\n0\r\n\r\n")
			close(sent)
		})
		r := &recorder{}
		r.onBody = func() error {
			if r.body.Len() == 1 {
				close(blocked)
				<-sent
				time.Sleep(idle + idle/4)
			}
			return nil
		}
		client := engine.NewClientWithOptions(engine.ClientOptions{IdleTimeout: idle})
		Expect(client.Do(context.Background(), req, nil, r)).To(Succeed())
		Expect(r.body.String()).To(Equal("ab"))
	})

	// Guards against an exchange that outlasts its deadline because the endpoint keeps sending.
	It("the deadline of the context ends a stream that never stops", func() {
		ctx, cancel := context.WithTimeout(context.Background(), 4*shortTimeout)
		defer cancel()
		req := requestTo(func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, ok+chunked)
			for {
				if _, err := io.WriteString(conn, "1\r\nx\r\n"); err != nil {
					return
				}
				time.Sleep(time.Millisecond)
			}
		})
		Expect(expectFailure(engine.NewClient().Do(ctx, req, nil, &recorder{})).Err).To(Equal(context.DeadlineExceeded))
	})

	// Guards against an error of the receiver that is reported as an error of the endpoint. OnHead fails if heads is negative,
	// otherwise OnBody fails.
	DescribeTable("an error of the receiver is returned as the cause", func(r *recorder) {
		receiverErr := errors.New("caller disconnected")
		fail := func() error { return receiverErr }
		if r.heads < 0 {
			r.onHead = fail
		} else {
			r.onBody = fail
		}
		err := engine.NewClient().Do(context.Background(), requestTo(respondWith(ok+"Content-Length: 2\r\n\r\nhi")), nil, r)
		Expect(expectFailure(err).Err).To(Equal(receiverErr))
	},
		Entry("from OnHead", &recorder{heads: -1}),
		Entry("from the last call of OnBody", &recorder{}),
	)

	// Guards against a buffer that grows without bound because the caller reads slowly.
	It("the client stops reading while the receiver blocks", func() {
		blocked := make(chan bool, 1)
		req := requestTo(func(conn *net.TCPConn) {
			readRequest(conn)
			_, _ = io.WriteString(conn, ok+chunked)
			blocked <- writeBlocks(conn)
		})
		stop := errors.New("receiver stopped")
		r := &recorder{onBody: func() error {
			Expect(<-blocked).To(BeTrue())
			return stop
		}}
		Expect(expectFailure(engine.NewClient().Do(context.Background(), req, nil, r)).Err).To(Equal(stop))
	})
})

// writeBlocks writes chunks of 0x10000 bytes. It returns true if a write blocks before unbufferableBytes were written, which
// shows that the peer has stopped reading.
func writeBlocks(conn *net.TCPConn) bool {
	piece := []byte("10000\r\n" + strings.Repeat("x", 0x10000) + "\r\n")
	for range unbufferableBytes / len(piece) {
		_ = conn.SetWriteDeadline(time.Now().Add(10 * shortTimeout))
		if _, err := conn.Write(piece); err != nil {
			var netErr net.Error
			return errors.As(err, &netErr) && netErr.Timeout()
		}
	}
	return false
}

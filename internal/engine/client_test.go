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
	// eventLimit bounds the wait for an event; no verdict depends on how much of it is used.
	eventLimit   = 30 * time.Second
	shortTimeout = 50 * time.Millisecond
	// beyondBuffers is more than the kernel buffers of a loopback connection hold.
	beyondBuffers = 64 << 20
)

// fake is an endpoint that runs a script on each connection and closes it afterwards.
func fake(script func(conn *net.TCPConn)) engine.Request {
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
		Eventually(runtime.NumGoroutine, eventLimit).Should(BeNumerically("<=", before))
	})
	return engine.Request{Method: "POST", Target: "/v1", Address: listener.Addr().String(), Body: []byte("{}")}
}

// readRequest reads one whole request with net/http's parser.
func readRequest(conn net.Conn) *http.Request {
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r
}

func answering(text string) func(*net.TCPConn) {
	return func(conn *net.TCPConn) {
		readRequest(conn)
		_, _ = io.WriteString(conn, text)
	}
}

// recorder is a Receiver; the hooks may be nil.
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

// expectFailure returns the error of a failed exchange.
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

var _ = Describe("whole answers", func() {
	// Guards against answers that are taken for another one, for an empty one or for a longer one.
	DescribeTable("are received exactly", func(method, answer string, status int, want string) {
		req := fake(answering(answer))
		req.Method = method
		r := &recorder{}
		Expect(engine.NewClient().Do(context.Background(), req, nil, r)).To(Succeed())
		Expect(r.heads).To(Equal(1))
		Expect(r.status).To(Equal(status))
		Expect(r.body.String()).To(Equal(want))
	},
		Entry("by length", "POST", ok+"Content-Length: 5\r\n\r\nhello", 200, "hello"),
		Entry("empty by length", "POST", ok+"Content-Length: 0\r\n\r\n", 200, ""),
		Entry("by chunks", "POST", ok+chunked+"5;x=y\r\nhello\r\n6\r\n world\r\n0\r\n\r\n", 200, "hello world"),
		Entry("with a trailer", "POST", ok+"Trailer: T\r\n"+chunked+"2\r\nhi\r\n0\r\nT: a b\r\n\r\n", 200, "hi"),
		Entry("after interim answers", "POST", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nX: y\r\n\r\n"+ok+"Content-Length: 2\r\n\r\nhi", 200, "hi"),
		Entry("with an empty reason phrase", "POST", "HTTP/1.1 503 \r\nContent-Length: 2\r\n\r\nhi", 503, "hi"),
		Entry("without reason phrase", "POST", "HTTP/1.1 503\r\nContent-Length: 2\r\n\r\nhi", 503, "hi"),
		Entry("followed by another answer", "POST", ok+"Content-Length: 2\r\n\r\nhi"+ok+"Content-Length: 2\r\n\r\nno", 200, "hi"),
		Entry("followed by other bytes", "POST", ok+"Content-Length: 2\r\n\r\nhigh", 200, "hi"),
		Entry("to HEAD", "HEAD", ok+"Content-Length: 5\r\n\r\n", 200, ""),
		Entry("of status 204", "POST", "HTTP/1.1 204 No Content\r\n\r\n", 204, ""),
	)

	// Guards against a cut answer that looks whole, at every place where an endpoint can die.
	DescribeTable("are told from answers cut at any byte", func(answer, want string, end func(*net.TCPConn) error) {
		cut := make(chan int, 1)
		req := fake(func(conn *net.TCPConn) {
			answering(answer[:<-cut])(conn)
			_ = end(conn)
		})
		for length := range len(answer) {
			cut <- length
			r := &recorder{}
			failed := expectFailure(engine.NewClient().Do(context.Background(), req, nil, r))
			Expect(errors.Is(failed, engine.ErrIncomplete)).To(BeTrue(), "cut at byte %d: %v", length, failed)
			Expect(failed.BytesSent).To(BeTrue())
			Expect(want).To(HavePrefix(r.body.String()))
			Expect(failed.HeadReceived).To(Equal(r.heads == 1))
		}
		cut <- len(answer)
		r := &recorder{}
		Expect(engine.NewClient().Do(context.Background(), req, nil, r)).To(Succeed())
		Expect(r.body.String()).To(Equal(want))
	},
		Entry("by length, closed", ok+"Content-Length: 5\r\n\r\nhello", "hello", (*net.TCPConn).Close),
		Entry("by length, reset", ok+"Content-Length: 5\r\n\r\nhello", "hello", resetAfterDelivery),
		Entry("by chunks, closed", ok+chunked+"5\r\nhello\r\na\r\n01234\r\n890\r\n0\r\n\r\n", "hello01234\r\n890", (*net.TCPConn).Close),
		Entry("by chunks, reset", ok+chunked+"5\r\nhello\r\n0\r\n\r\n", "hello", resetAfterDelivery),
		Entry("with interim answer and trailer", "HTTP/1.1 100 Continue\r\n\r\n"+ok+chunked+"1\r\nx\r\n0\r\nT: v\r\n\r\n", "x", (*net.TCPConn).Close),
	)
})

// resetAfterDelivery resets the connection after the peer closed it or read nothing more for a moment, because a reset
// overtakes bytes that were not yet read.
func resetAfterDelivery(conn *net.TCPConn) error {
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, _ = conn.Read(make([]byte, 1))
	return conn.SetLinger(0)
}

var _ = Describe("faulty answers", func() {
	// Guards against answers that two parsers understand differently and against an answer whose end is unknown.
	DescribeTable("are errors", func(answer string) {
		r := &recorder{}
		failed := expectFailure(engine.NewClient().Do(context.Background(), fake(answering(answer)), nil, r))
		Expect(failed.BytesSent).To(BeTrue())
		Expect(r.body.String()).To(BeEmpty())
	},
		Entry("without length and chunks", ok+"\r\nhello"),
		Entry("HTTP/1.0 until close", "HTTP/1.0 200 OK\r\n\r\nhello"),
		Entry("two lengths", ok+"Content-Length: 2\r\nContent-Length: 9\r\n\r\nhi"),
		Entry("two equal lengths", ok+"Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi"),
		Entry("negative length", ok+"Content-Length: -2\r\n\r\nhi"),
		Entry("length and chunks", ok+"Content-Length: 2\r\n"+chunked+"0\r\n\r\n"),
		Entry("unknown transfer encoding", ok+"Transfer-Encoding: gzip\r\n\r\nhi"),
		Entry("bad chunk size", ok+chunked+"0x0\r\n\r\n"),
		Entry("folded header", ok+"X: y\r\n Content-Length: 2\r\n\r\nhi"),
		Entry("space before the colon", ok+"Content-Length : 2\r\n\r\nhi"),
		Entry("head over the limit", ok+"X: "+strings.Repeat("x", 1<<20)+"\r\n\r\n"),
		Entry("switch of protocols", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"),
		Entry("interim answers without end", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 1000)),
		Entry("status of two digits", "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nhi"),
		Entry("HTTP/2.0", "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nhi"),
		Entry("no HTTP", "SSH-2.0-x\r\n"),
		Entry("nothing", ""),
	)

	// Guards against a fault within the body that ends the stream as if it were whole.
	It("keep what came before the fault and name it", func() {
		r := &recorder{}
		err := engine.NewClient().Do(context.Background(), fake(answering(ok+chunked+"5\r\nhello\r\nzz\r\n")), nil, r)
		var malformed *wire.MalformedError
		Expect(errors.As(err, &malformed)).To(BeTrue(), "%v", err)
		Expect(r.body.String()).To(Equal("hello"))
		Expect(expectFailure(err).HeadReceived).To(BeTrue())
	})
})

var _ = Describe("requests", func() {
	// Guards against header injection. The endpoint must see no byte of such a request.
	DescribeTable("that would change the message structure are refused", func(change func(*engine.Request)) {
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
		Entry("target without slash", func(r *engine.Request) { r.Target = "x" }),
		Entry("space in the method", func(r *engine.Request) { r.Method = "GET /" }),
		Entry("LF in the address", func(r *engine.Request) { r.Address = "a\nb" }),
	)

	// Guards against a caller's header that contradicts the framing of the forwarded request.
	It("carry one framing and no header of another hop", func() {
		seen := make(chan *http.Request, 1)
		req := fake(func(conn *net.TCPConn) {
			seen <- readRequest(conn)
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
		Eventually(seen, eventLimit).Should(Receive(&got))
		Expect(got.ContentLength).To(BeEquivalentTo(2))
		Expect(got.Close).To(BeTrue())
		Expect(got.Header).To(Equal(http.Header{"X-Request-Id": {"7"}, "Content-Length": {"2"}, "Connection": {"close"}}))
	})

	// Guards against a retry of a request that the endpoint may have read.
	It("count as unsent only before the first byte", func() {
		req := fake(func(conn *net.TCPConn) {
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.SetLinger(0)
		})
		Expect(expectFailure(engine.NewClient().Do(context.Background(), req, nil, &recorder{})).BytesSent).To(BeTrue())

		refused := errors.New("credit expired")
		failed := expectFailure(engine.NewClient().Do(context.Background(), req, func() error { return refused }, &recorder{}))
		Expect(failed.Err).To(Equal(refused))
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

	// Guards against an early refusal that is lost behind a blocked write of a long prompt.
	DescribeTable("receive an answer that comes before they were read", func(end func(*net.TCPConn)) {
		req := fake(func(conn *net.TCPConn) {
			_, _ = conn.Read(make([]byte, 16))
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy")
			end(conn)
		})
		req.Body = make([]byte, beyondBuffers)
		r := &recorder{}
		Expect(engine.NewClient().Do(context.Background(), req, nil, r)).To(Succeed())
		Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		Expect(r.body.String()).To(Equal("busy"))
	},
		Entry("and the endpoint reads nothing more", awaitEnd),
		Entry("and the endpoint closes at once", func(*net.TCPConn) {}),
	)

	// Guards against a large prompt that is corrupted or cut while it is sent in pieces.
	It("arrive whole", func() {
		read := make(chan int64, 1)
		req := fake(func(conn *net.TCPConn) {
			r, _ := http.ReadRequest(bufio.NewReader(conn))
			body, _ := io.ReadAll(r.Body)
			good := int64(0)
			for i, c := range body {
				if c == byte(i/1000) {
					good++
				}
			}
			read <- good
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

// awaitEnd blocks, without reading what was sent, until the peer has closed the connection.
func awaitEnd(conn *net.TCPConn) {
	for {
		if _, err := conn.Write([]byte{0}); err != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

var _ = Describe("ends of an exchange", func() {
	// Guards against an engine that keeps working for a cancelled request, in each state of the exchange.
	DescribeTable("a cancel closes the connection", func(bodyBytes int, script func(conn *net.TCPConn, reached func()), blockReceiver bool) {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		req := fake(func(conn *net.TCPConn) {
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
		Eventually(ended, eventLimit).Should(BeClosed())
	},
		Entry("while the request is sent", beyondBuffers, func(conn *net.TCPConn, reached func()) {
			_, _ = conn.Read(make([]byte, 16))
			reached()
		}, false),
		Entry("while the head is awaited", 2, func(conn *net.TCPConn, reached func()) {
			_, _ = conn.Read(make([]byte, 16))
			reached()
		}, false),
		Entry("within the head", 2, func(conn *net.TCPConn, reached func()) {
			_, _ = io.WriteString(conn, "HTTP/1.1 2")
			_, _ = conn.Read(make([]byte, 16))
			reached()
		}, false),
		Entry("within the body", 2, func(conn *net.TCPConn, reached func()) {
			_, _ = io.WriteString(conn, ok+chunked+"5\r\nhel")
			_, _ = conn.Read(make([]byte, 16))
			reached()
		}, false),
		Entry("while the receiver blocks", 2, func(conn *net.TCPConn, _ func()) {
			_, _ = conn.Read(make([]byte, 16))
			_, _ = io.WriteString(conn, ok+chunked+"5\r\nhello\r\n")
		}, true),
	)

	// Guards against a dead engine that holds a request until its budget ends.
	DescribeTable("an idle endpoint is an error", func(bodyBytes int, answer string) {
		returned := make(chan struct{})
		req := fake(func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, answer)
			if bodyBytes < beyondBuffers {
				_, _ = io.Copy(io.Discard, conn)
			}
			<-returned
		})
		defer close(returned)
		req.Body = make([]byte, bodyBytes)
		client := engine.NewClientWithOptions(engine.ClientOptions{IdleTimeout: shortTimeout})
		failed := expectFailure(client.Do(context.Background(), req, nil, &recorder{}))
		Expect(errors.Is(failed, engine.ErrIdle)).To(BeTrue(), "%v", failed)
	},
		Entry("before the head", 2, ""),
		Entry("within the head", 2, "HTTP/1.1 2"),
		Entry("within a body of declared length", 2, ok+"Content-Length: 9\r\n\r\nhel"),
		Entry("within a chunk", 2, ok+chunked+"5\r\nhel"),
		Entry("that does not read the request", beyondBuffers, ""),
	)

	// Guards against a receiver's slowness that is taken for the endpoint's.
	It("the time in which the receiver blocks is not idle", func() {
		const idle = time.Second
		blocked, sent := make(chan struct{}), make(chan struct{})
		req := fake(func(conn *net.TCPConn) {
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

	// Guards against a deadline that a slow stream outlives.
	It("the deadline of the context ends a stream that never stops", func() {
		ctx, cancel := context.WithTimeout(context.Background(), 4*shortTimeout)
		defer cancel()
		req := fake(func(conn *net.TCPConn) {
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

	// Guards against an error of the receiver that is reported as the endpoint's.
	DescribeTable("an error of the receiver is returned unchanged", func(r *recorder) {
		fault := errors.New("caller left")
		fail := func() error { return fault }
		if r.heads < 0 {
			r.onHead = fail
		} else {
			r.onBody = fail
		}
		err := engine.NewClient().Do(context.Background(), fake(answering(ok+"Content-Length: 2\r\n\r\nhi")), nil, r)
		Expect(expectFailure(err).Err).To(Equal(fault))
	},
		Entry("from the head", &recorder{heads: -1}),
		Entry("from the last part of the body", &recorder{}),
	)

	// Guards against a buffer that grows without bound behind a slow caller.
	It("nothing more is read while the receiver blocks", func() {
		full := make(chan bool, 1)
		req := fake(func(conn *net.TCPConn) {
			readRequest(conn)
			_, _ = io.WriteString(conn, ok+chunked)
			full <- writeUntilFull(conn)
		})
		stop := errors.New("seen enough")
		r := &recorder{onBody: func() error {
			Expect(<-full).To(BeTrue())
			return stop
		}}
		Expect(expectFailure(engine.NewClient().Do(context.Background(), req, nil, r)).Err).To(Equal(stop))
	})
})

// writeUntilFull reports whether the peer stops reading before it has got much more than the kernel buffers hold.
func writeUntilFull(conn *net.TCPConn) bool {
	piece := []byte("10000\r\n" + strings.Repeat("x", 0x10000) + "\r\n")
	for range beyondBuffers / len(piece) {
		_ = conn.SetWriteDeadline(time.Now().Add(10 * shortTimeout))
		if _, err := conn.Write(piece); err != nil {
			var netErr net.Error
			return errors.As(err, &netErr) && netErr.Timeout()
		}
	}
	return false
}

package engine_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/engine"
)

// keepsAnswering answers each request on each connection by the next answer, and counts connections.
func keepsAnswering(connections *atomic.Int64, answers ...string) engine.Request {
	var next atomic.Int64
	return fake(func(conn *net.TCPConn) {
		connections.Add(1)
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			at := min(int(next.Add(1)), len(answers)) - 1
			_, _ = io.WriteString(conn, answers[at])
		}
	})
}

var _ = Describe("a client that reuses connections", func() {
	newClient := func() *engine.Client {
		return engine.NewClientWithOptions(engine.ClientOptions{Reuse: true, AllowUnframed: true})
	}
	const framed = ok + "Content-Length: 2\r\n\r\nhi"

	do := func(client *engine.Client, req engine.Request) string {
		r := &recorder{}
		Expect(client.Do(context.Background(), req, nil, r)).To(Succeed())
		return r.body.String()
	}

	// Guards against a new connection for each request, which endpoints bound and charge for. Many requests, because a
	// connection was given up whenever the answer was read before the goroutine that had sent the request ended.
	DescribeTable("sends the next request on the same connection", func(bodyBytes int, awaitIdle func(*engine.Client)) {
		const requests = 2000
		var connections atomic.Int64
		client := newClient()
		req := keepsAnswering(&connections, framed)
		req.Body = make([]byte, bodyBytes)
		for range requests {
			Expect(do(client, req)).To(Equal("hi"))
			awaitIdle(client)
		}
		Expect(connections.Load()).To(BeEquivalentTo(1))
		Expect(client.Dials()).To(BeEquivalentTo(1))
		client.CloseIdle()
	},
		Entry("at once after small requests", 2, func(*engine.Client) {}),
		Entry("soon after requests of several pieces", 100<<10, func(client *engine.Client) {
			Eventually(client.Idle, eventLimit, "100us").Should(Equal(1))
		}),
	)

	// Guards against requests on connections whose endpoint has ended or will end them.
	DescribeTable("opens a new connection", func(first string) {
		var connections atomic.Int64
		client := newClient()
		req := keepsAnswering(&connections, first, framed)
		Expect(do(client, req)).To(Equal("hi"))
		time.Sleep(10 * time.Millisecond)
		Expect(do(client, req)).To(Equal("hi"))
		Expect(connections.Load()).To(BeEquivalentTo(2))
		client.CloseIdle()
	},
		Entry("after an announced close", ok+"Connection: close\r\nContent-Length: 2\r\n\r\nhi"),
		Entry("after a time-out of a second", ok+"Keep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nhi"),
		Entry("after bytes beyond the answer", ok+"Content-Length: 2\r\n\r\nhi"+framed),
	)

	// Guards against a request that crosses the close of an idle connection.
	It("opens a new connection for a request that asks for one", func() {
		var connections atomic.Int64
		client := newClient()
		req := keepsAnswering(&connections, framed)
		do(client, req)
		req.Fresh = true
		do(client, req)
		Expect(connections.Load()).To(BeEquivalentTo(2))
		client.CloseIdle()
	})

	// Guards against the reuse of a connection on which the rest of a request is still due.
	It("does not keep a connection whose request was answered before it was sent whole", func() {
		var connections atomic.Int64
		req := fake(func(conn *net.TCPConn) {
			connections.Add(1)
			_, _ = io.WriteString(conn, framed)
			_, _ = io.Copy(io.Discard, conn)
		})
		req.Body = make([]byte, beyondBuffers)
		client := newClient()
		do(client, req)
		do(client, req)
		Expect(connections.Load()).To(BeEquivalentTo(2))
		client.CloseIdle()
	})

	// Guards against a cut answer without length that looks whole.
	It("accepts an answer without length only if its connection ends in order", func() {
		client := newClient()
		Expect(do(client, fake(answering(ok+"\r\nhello")))).To(Equal("hello"))
		req := fake(func(conn *net.TCPConn) {
			answering(ok + "\r\nhel")(conn)
			_ = resetAfterDelivery(conn)
		})
		failed := expectFailure(client.Do(context.Background(), req, nil, &recorder{}))
		Expect(failed.HeadReceived).To(BeTrue())
	})
})

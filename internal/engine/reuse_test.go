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

// serveResponses starts an endpoint that sends the next response for each request and repeats the last one. It counts
// connections.
func serveResponses(connections *atomic.Int64, responses ...string) engine.Request {
	var next atomic.Int64
	return requestTo(func(conn *net.TCPConn) {
		connections.Add(1)
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			index := min(int(next.Add(1)), len(responses)) - 1
			_, _ = io.WriteString(conn, responses[index])
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

	// Guards against a new connection for each request; endpoints limit connections, and each one costs time. The spec sends
	// many requests to find a race: a connection was closed if the response was read before the sending goroutine had ended.
	DescribeTable("sends the next request on the same connection", func(bodyBytes int, awaitIdle func(*engine.Client)) {
		const requests = 2000
		var connections atomic.Int64
		client := newClient()
		req := serveResponses(&connections, framed)
		req.Body = make([]byte, bodyBytes)
		for range requests {
			Expect(do(client, req)).To(Equal("hi"))
			awaitIdle(client)
		}
		Expect(connections.Load()).To(BeEquivalentTo(1))
		Expect(client.Dials()).To(BeEquivalentTo(1))
		client.CloseIdle()
	},
		Entry("immediately after small requests", 2, func(*engine.Client) {}),
		Entry("after the last piece was sent for requests of several pieces", 100<<10, func(client *engine.Client) {
			Eventually(client.IdleCount, waitTimeout, "100us").Should(Equal(1))
		}),
	)

	// Guards against requests on connections that the endpoint has closed or is about to close.
	DescribeTable("opens a new connection", func(first string) {
		var connections atomic.Int64
		client := newClient()
		req := serveResponses(&connections, first, framed)
		Expect(do(client, req)).To(Equal("hi"))
		time.Sleep(10 * time.Millisecond)
		Expect(do(client, req)).To(Equal("hi"))
		Expect(connections.Load()).To(BeEquivalentTo(2))
		client.CloseIdle()
	},
		Entry("after Connection: close", ok+"Connection: close\r\nContent-Length: 2\r\n\r\nhi"),
		Entry("after a Keep-Alive timeout of a second", ok+"Keep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nhi"),
		Entry("after bytes that follow the response", ok+"Content-Length: 2\r\n\r\nhi"+framed),
	)

	// Guards against a request that fails because the endpoint closes the idle connection at the same time.
	It("opens a new connection for a request with Fresh set", func() {
		var connections atomic.Int64
		client := newClient()
		req := serveResponses(&connections, framed)
		do(client, req)
		req.Fresh = true
		do(client, req)
		Expect(connections.Load()).To(BeEquivalentTo(2))
		client.CloseIdle()
	})

	// Guards against the reuse of a connection on which a part of the previous request is unsent.
	It("does not keep a connection whose response was complete before the request was sent", func() {
		var connections atomic.Int64
		req := requestTo(func(conn *net.TCPConn) {
			connections.Add(1)
			_, _ = io.WriteString(conn, framed)
			_, _ = io.Copy(io.Discard, conn)
		})
		req.Body = make([]byte, unbufferableBytes)
		client := newClient()
		do(client, req)
		do(client, req)
		Expect(connections.Load()).To(BeEquivalentTo(2))
		client.CloseIdle()
	})

	// Guards against a truncated response without Content-Length that looks complete.
	It("accepts a response without Content-Length only if its connection is closed without a reset", func() {
		client := newClient()
		Expect(do(client, requestTo(respondWith(ok+"\r\nhello")))).To(Equal("hello"))
		req := requestTo(func(conn *net.TCPConn) {
			respondWith(ok + "\r\nhel")(conn)
			_ = resetOnClose(conn)
		})
		failed := expectFailure(client.Do(context.Background(), req, nil, &recorder{}))
		Expect(failed.HeadReceived).To(BeTrue())
	})
})

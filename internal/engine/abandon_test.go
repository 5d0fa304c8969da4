package engine_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/engine"
)

var _ = Describe("a request that is cancelled", func() {
	// Guards against requests that arrive at an endpoint seconds after they were given up, when the endpoint can be reached again, and run
	// there (EVAC).
	It("does not arrive later if the endpoint has not acknowledged all of it", func() {
		proceed, received := make(chan struct{}), make(chan error, 1)
		request := requestTo(func(conn *net.TCPConn) {
			_ = conn.SetReadBuffer(4 << 10)
			<-proceed
			_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
			_, err := io.Copy(io.Discard, conn)
			received <- err
		})
		request.Body = bytes.Repeat([]byte("x"), 1<<20)
		ctx, cancel := context.WithTimeout(context.Background(), shortTimeout)
		defer cancel()
		_, err := engine.NewClient().Fetch(ctx, request, 100)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		close(proceed)
		Eventually(received, waitTimeout).Should(Receive(MatchError(syscall.ECONNRESET)))
	})

	// Guards against endpoints that count every cancelled request as a failed connection.
	It("ends its connection in order if the endpoint has all of it", func() {
		received := make(chan error, 1)
		request := requestTo(func(conn *net.TCPConn) {
			readRequest(conn)
			_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
			_, err := io.Copy(io.Discard, conn)
			received <- err
		})
		ctx, cancel := context.WithTimeout(context.Background(), shortTimeout)
		defer cancel()
		_, err := engine.NewClient().Fetch(ctx, request, 100)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Eventually(received, waitTimeout).Should(Receive(BeNil()))
	})
})

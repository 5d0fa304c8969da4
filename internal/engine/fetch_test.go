package engine_test

import (
	"context"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/engine"
)

var _ = Describe("a response that is fetched within limits", func() {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"
	limits := engine.FetchLimits{MaxBytes: 100, HeadTimeout: waitTimeout, StallTimeout: 400 * time.Millisecond, Timeout: waitTimeout}
	// sendSlowly returns a script that sends a head and a number of bytes with pauses between them, and then nothing until the connection ends.
	sendSlowly := func(head string, bytes int) func(*net.TCPConn) {
		return func(conn *net.TCPConn) {
			readRequest(conn)
			_, _ = io.WriteString(conn, head)
			for range bytes {
				_, _ = io.WriteString(conn, "x")
				time.Sleep(limits.StallTimeout / 8)
			}
			_, _ = conn.Read(make([]byte, 1))
		}
	}

	// Guards against a large response on a slow link that is given up and requested again for ever.
	It("may take longer than the longest time without progress", func() {
		request := requestTo(sendSlowly(head, 10))
		response, err := engine.NewClient().FetchWithin(context.Background(), request, limits)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body).To(HaveLen(10))
	})

	// Guards against an instance that waits for a connection that has gone silent.
	DescribeTable("fails if there is no progress", func(head string, bytes int, change func(*engine.FetchLimits)) {
		changed := limits
		change(&changed)
		_, err := engine.NewClient().FetchWithin(context.Background(), requestTo(sendSlowly(head, bytes)), changed)
		Expect(err).To(MatchError(engine.ErrIdleTimeout))
	},
		Entry("before the head", "", 0, func(l *engine.FetchLimits) { l.HeadTimeout = shortTimeout }),
		Entry("after the head", head, 0, func(*engine.FetchLimits) {}),
		Entry("in the body", head, 9, func(*engine.FetchLimits) {}),
	)

	// Guards against a response that makes a little progress for ever.
	It("fails after the longest time of the whole exchange", func() {
		changed := limits
		changed.Timeout = shortTimeout
		_, err := engine.NewClient().FetchWithin(context.Background(), requestTo(sendSlowly(head, 9)), changed)
		Expect(err).To(MatchError(context.DeadlineExceeded))
	})
})

package engine_test

import (
	"context"
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/testkit"
	"github.com/acacialift/acacialift/internal/wire"
)

var _ = Describe("a response with an invalid status", func() {
	final := ok + "Content-Length: 2\r\n\r\nhi"
	for _, status := range testkit.InvalidStatuses {
		// Guards against a status that nobody knows and that reaches a receiver, and against one that counts as an interim response: the next
		// bytes would then be taken for the final response.
		It("is malformed: "+status, func() {
			line := "HTTP/1.1 " + status + "\r\n"
			for _, response := range []string{
				line + "Content-Length: 2\r\n\r\nno", line + "\r\n", line + "\r\n" + final,
				"HTTP/1.1 100 Continue\r\n\r\n" + line + "Content-Length: 2\r\n\r\nno",
			} {
				client := engine.NewClientWithOptions(engine.ClientOptions{Reuse: true, AllowUnframed: true})
				r := &recorder{}
				err := client.Do(context.Background(), requestTo(respondWith(response)), nil, r)
				var malformed *wire.MalformedError
				Expect(errors.As(err, &malformed)).To(BeTrue(), "%q: %v", response, err)
				Expect(expectFailure(err).BytesSent).To(BeTrue())
				Expect(r.heads).To(BeZero())
				Expect(client.IdleCount()).To(BeZero())
			}
		})
	}
})

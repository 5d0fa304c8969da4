package platform_test

import (
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/platform"
	"github.com/acacialift/acacialift/internal/testkit"
)

var _ = Describe("a value whose response has an invalid status", func() {
	// Guards against a configuration that is read from a response that nobody understands, or from the bytes after it.
	It("is not read", func() {
		body := string(instances(17, "whole"))
		rest := fmt.Sprintf("%s: 17\r\nContent-Length: %d\r\n\r\n%s", platform.RevisionHeader, len(body), body)
		for _, status := range testkit.InvalidStatuses {
			for _, response := range []string{
				"HTTP/1.1 " + status + "\r\n" + rest,
				"HTTP/1.1 " + status + "\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
			} {
				server := testkit.ServeTruncated(response, false)
				server.Length.Store(int64(len(response)))
				client := platform.NewClient(platform.ClientOptions{
					Addresses: []string{server.Address}, Exchange: engine.NewClient(), Clock: clockwork.NewRealClock(),
					Rand: rand.New(rand.NewPCG(1, 1)),
				})
				value, err := client.Read(context.Background(), platform.KindInstances, 1, 0)
				Expect(err).To(MatchError(ContainSubstring("malformed message")), "status line %q", status)
				Expect(value).To(BeNil())
			}
		}
	})
})

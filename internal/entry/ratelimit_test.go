package entry_test

import (
	"bytes"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/acacialift/acacialift/internal/entry"
	"github.com/acacialift/acacialift/internal/fleet"
)

// limitedResponse returns a response of an endpoint that names a request rate.
func limitedResponse(rate string) string {
	return strings.Replace(sealedResponse("limited"), "\r\n", "\r\nServer-Limit: "+rate+"\r\n", 1)
}

// logBuffer collects log lines. It is safe for concurrent use.
type logBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(line)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.String()
}

// withLog makes the rig write its log lines to the buffer.
func withLog(b *logBuffer) rigOption {
	return func(_ *fleet.Catalog, options *entry.HandlerOptions) { options.Log = zerolog.New(b) }
}

var _ = Describe("an endpoint that limits its request rate", func() {
	// Guards against logs that do not tell when an instance learned that an endpoint has a limit, which value it used, and
	// when the limit ended.
	It("is logged when the limit begins, changes and ends, and at each placement", func() {
		e := newEndpoint(
			respond(limitedResponse("1000")), respond(limitedResponse("500")), respond(limitedResponse("500")),
			respond(sealedResponse("free")),
		)
		var log logBuffer
		r := newRig([]*fakeEndpoint{e}, withLog(&log))
		for range 5 {
			Eventually(func() int { return r.call("/safe/").status }, waitTimeout).Should(Equal(200))
		}
		lines := log.String()
		Expect(strings.Count(lines, "endpoint_limited")).To(Equal(2))
		Expect(lines).To(ContainSubstring(`"endpoint":"i-0","max_rate":1000,"message":"endpoint_limited"`))
		Expect(lines).To(ContainSubstring(`"endpoint":"i-0","max_rate":500,"message":"endpoint_limited"`))
		Expect(strings.Count(lines, `"max_rate_age_ms"`)).To(Equal(3))
		Expect(strings.Count(lines, "endpoint_limit_ended")).To(Equal(1))
	})
})

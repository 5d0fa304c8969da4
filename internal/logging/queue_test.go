package logging_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/logging"
	"github.com/acacialift/acacialift/internal/testkit"
)

func TestLogging(t *testing.T) { testkit.RunSpecs(t, "logging") }

// blockedWriter is a writer that blocks until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	written bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	return w.written.Write(p)
}

var _ = Describe("the queue of log lines", func() {
	// Guards against requests that block, or memory that grows without bound, because the log is read too slowly.
	It("drops lines when the writer blocks, and logs their number", func() {
		w := &blockedWriter{unblock: make(chan struct{})}
		q := logging.NewQueue(w)
		const lines = 10_000
		for range lines {
			n, err := q.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
			Expect(n).To(Equal(5))
		}
		close(w.unblock)
		q.Close()
		text := w.written.String()
		Expect(strings.Count(text, "line\n")).To(BeNumerically("<", lines))
		Expect(text).To(ContainSubstring("event=log_lines_dropped lines="))
	})

	// Guards against log lines that are lost when the process ends.
	It("writes all queued lines when it is closed", func() {
		var out bytes.Buffer
		q := logging.NewQueue(&out)
		for range 100 {
			_, _ = q.Write([]byte("line\n"))
		}
		q.Close()
		Expect(strings.Count(out.String(), "line\n")).To(Equal(100))
	})
})

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

// gate is a writer that blocks until it is opened.
type gate struct {
	open    chan struct{}
	written bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	return g.written.Write(p)
}

var _ = Describe("the queue of log lines", func() {
	// Guards against requests that wait for a slow reader of the log, and against memory that grows with the lines.
	It("drops lines when the reader is slow, and says how many", func() {
		g := &gate{open: make(chan struct{})}
		q := logging.NewQueue(g)
		const lines = 10_000
		for range lines {
			n, err := q.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
			Expect(n).To(Equal(5))
		}
		close(g.open)
		q.Close()
		text := g.written.String()
		Expect(strings.Count(text, "line\n")).To(BeNumerically("<", lines))
		Expect(text).To(ContainSubstring("event=log_lines_dropped lines="))
	})

	// Guards against lines that are lost at the end of a process.
	It("writes all lines that wait when it is closed", func() {
		var out bytes.Buffer
		q := logging.NewQueue(&out)
		for range 100 {
			_, _ = q.Write([]byte("line\n"))
		}
		q.Close()
		Expect(strings.Count(out.String(), "line\n")).To(Equal(100))
	})
})

package logline_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/acacialift/acacialift/internal/logline"
	"github.com/acacialift/acacialift/internal/testkit"
)

func TestLogline(t *testing.T) { testkit.RunSpecs(t, "logline") }

var _ = Describe("Parse", func() {
	// Guards against values with spaces, quotes or equals signs that are split or assigned to another key.
	It("returns quoted values unchanged", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			key := rapid.StringMatching(`[a-z_]{1,8}x`).Draw(t, "key")
			value := rapid.String().Draw(t, "value")
			line := logline.Parse(fmt.Sprintf("time=2026-01-02T03:04:05Z %s=%q last=1", key, value))
			if line.Value(key) != value || line.Value("last") != "1" || line.Time.IsZero() {
				t.Fatalf("got %+v", line)
			}
		})
	})

	// Guards against a panic caused by a truncated line or a line in another format.
	It("accepts any text", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) { logline.Parse(rapid.String().Draw(t, "text")) })
	})
})

var _ = Describe("History", func() {
	// Guards against events of other requests, and against events in the order of files instead of times.
	It("sorts the events of one request from several logs by time", func() {
		gateway := `time=2026-01-02T03:04:05.010Z level=info instance=a process=gateway message="credit asked" request_id=r1 tokens=10
2026-01-02T03:04:05.000Z INF admitted instance=a process=gateway request_id=r1 reason="a b"
time=2026-01-02T03:04:05.001Z message=admitted request_id=r10
time=2026-01-02T03:04:05.002Z message=admitted request_id=r2 earlier=r1
message=undated request_id=r1`
		// Owners log the ID of a dispatch, which is the request ID, a colon and a number.
		controller := "time=1767323045005 message=granted request_id=r1:1 load=0.5\n"
		history := logline.History{RequestID: "r1"}
		Expect(history.Add("gateway.log", strings.NewReader(gateway))).To(Succeed())
		Expect(history.Add("controller.log", strings.NewReader(controller))).To(Succeed())
		history.Sort()
		var table strings.Builder
		Expect(history.WriteTable(&table)).To(Succeed())
		var got []string
		for row := range strings.Lines(table.String()) {
			got = append(got, strings.Join(strings.Fields(row), " "))
		}
		Expect(got).To(Equal([]string{
			"time ms source level event details",
			`2026-01-02T03:04:05.000Z +0.0 a/gateway INF admitted reason="a b"`,
			"2026-01-02T03:04:05.005Z +5.0 controller.log granted load=0.5",
			"2026-01-02T03:04:05.010Z +10.0 a/gateway info credit asked tokens=10",
			"- - gateway.log undated",
		}))
	})
})

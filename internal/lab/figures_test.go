package lab

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/loadgen"
)

var _ = Describe("NewSpread", func() {
	// Guards against a table that shows an outlier as the usual figure.
	DescribeTable("takes the median and the range", func(figures []float64, want Spread) {
		Expect(NewSpread(figures)).To(Equal(want))
	},
		Entry("none", nil, Spread{}),
		Entry("odd", []float64{9, 1, 2}, Spread{Median: 2, Min: 1, Max: 9, Runs: 3}),
		Entry("even", []float64{4, 1, 2, 9}, Spread{Median: 3, Min: 1, Max: 9, Runs: 4}))
})

var _ = Describe("timeToShare", func() {
	samples := func(inDomain ...int) []startSample {
		list := make([]startSample, len(inDomain))
		for i, n := range inDomain {
			list[i] = startSample{at: time.Duration(i) * time.Second, inDomain: n, all: 10 * i}
		}
		return list
	}

	// Guards against a share over the whole time, which a returned domain reaches long after it carries its share, and
	// against one over too few starts.
	DescribeTable("takes the share over the window only", func(list []startSample, want time.Duration) {
		Expect(timeToShare(list, 2*time.Second, 0.3)).To(Equal(want))
	},
		Entry("never", samples(0, 1, 2, 3), time.Duration(-1)),
		Entry("at the end of the window", samples(0, 0, 0, 0, 3, 6), 5*time.Second),
		Entry("not before a whole window", samples(0, 9, 9), 2*time.Second),
		Entry("no samples", nil, time.Duration(-1)))
})

var _ = Describe("lost", func() {
	// Guards against refusals that are counted as losses, and losses that are not.
	It("counts all that may have run without a whole answer", func() {
		result := &loadgen.Result{Outcomes: []loadgen.OutcomeCount{
			{Outcome: "ok", Count: 10},
			{Outcome: "not_run", Count: 20},
			{Outcome: "unknown", Count: 3},
			{Outcome: "failed", Count: 4},
			{Outcome: "reset", Count: 5},
			{Outcome: "endpoint_error", Count: 6},
		}}
		Expect(lost(result)).To(Equal(18))
		Expect(inTime(result)).To(BeNumerically("~", 10.0/48))
	})
})

var _ = Describe("parseUsage", func() {
	// Guards against columns that shift because a process name holds spaces or brackets.
	It("reads behind the process name", func() {
		usage, err := parseUsage([]byte("7 (a ) b) S 1 1 1 0 -1 0 0 0 0 0 150 50 0 0 20 0 9 0 100 5000 3 0"))
		Expect(err).NotTo(HaveOccurred())
		Expect(usage.cpu).To(Equal(2 * time.Second))
		Expect(usage.resident).To(BeNumerically(">", 0))
		_, err = parseUsage([]byte("7 (a) S 1"))
		Expect(err).To(MatchError(errStatFormat))
	})

	// Guards against idle time that counts as busy.
	It("takes the busy share of the machine", func() {
		before := parseCPU("cpu 100 0 100 700 100 0 0 0 50 0")
		Expect(parseCPU("cpu 150 0 150 800 100 0 0 0 90 0").shareSince(before)).To(BeNumerically("~", 0.5))
	})
})

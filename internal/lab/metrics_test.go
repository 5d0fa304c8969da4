package lab

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/loadgen"
)

var _ = Describe("NewSpread", func() {
	// Guards against a table that shows an outlier as the typical value.
	DescribeTable("computes the median and the range", func(values []float64, want Spread) {
		Expect(NewSpread(values)).To(Equal(want))
	},
		Entry("none", nil, Spread{}),
		Entry("odd", []float64{9, 1, 2}, Spread{Median: 2, Min: 1, Max: 9, Runs: 3}),
		Entry("even", []float64{4, 1, 2, 9}, Spread{Median: 3, Min: 1, Max: 9, Runs: 4}))
})

var _ = Describe("timeToFraction", func() {
	samples := func(inDomain ...int) []startSample {
		list := make([]startSample, len(inDomain))
		for i, n := range inDomain {
			list[i] = startSample{at: time.Duration(i) * time.Second, inDomain: n, all: 10 * i}
		}
		return list
	}

	// Guards against a fraction over the whole time since the return, which reaches the target long after the domain gets
	// its full fraction of the starts, and against a fraction over too few starts.
	DescribeTable("computes the fraction over the window only", func(list []startSample, want time.Duration) {
		Expect(timeToFraction(list, 2*time.Second, 0.3)).To(Equal(want))
	},
		Entry("never", samples(0, 1, 2, 3), time.Duration(-1)),
		Entry("at the end of the window", samples(0, 0, 0, 0, 3, 6), 5*time.Second),
		Entry("not before a full window has elapsed", samples(0, 9, 9), 2*time.Second),
		Entry("no samples", nil, time.Duration(-1)))
})

var _ = Describe("lost", func() {
	// Guards against refused requests that are counted as lost, and lost requests that are not counted.
	It("counts the requests that may have been executed and got no complete response", func() {
		result := &loadgen.Result{Outcomes: []loadgen.OutcomeCount{
			{Outcome: "ok", Count: 10},
			{Outcome: "not_run", Count: 20},
			{Outcome: "unknown", Count: 3},
			{Outcome: "failed", Count: 4},
			{Outcome: "reset", Count: 5},
			{Outcome: "endpoint_error", Count: 6},
			{Outcome: "unknown", Code: "deadline_exceeded", Count: 2},
		}}
		Expect(lost(result)).To(Equal(18))
		Expect(outOfBudget(result)).To(Equal(2))
		Expect(answeredFraction(result)).To(BeNumerically("~", 10.0/50))
	})
})

var _ = Describe("cpuTimes", func() {
	// Guards against idle time and I/O wait that are counted as busy.
	It("computes the busy fraction of the machine's CPU time", func() {
		before := parseCPU("cpu 100 0 100 700 100 0 0 0 50 0")
		Expect(parseCPU("cpu 150 0 150 800 100 0 0 0 90 0").busyFractionSince(before)).To(BeNumerically("~", 0.5))
	})
})

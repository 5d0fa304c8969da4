package emulator_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/emulator"
)

// runReturns runs a pattern without and with return times and adds up the outcomes of several seeds.
func runReturns(pattern emulator.Pattern, outage emulator.Outage) (off, on []emulator.Result) {
	for seed := range uint64(seedCount) {
		options := pattern.Options(emulator.PlannerPolicy, seed+1)
		options.Outage = outage
		off = append(off, emulator.Run(options))
		options.ReturnTimes = true
		on = append(on, emulator.Run(options))
	}
	AddReportEntry("return times off and on", ReportEntryVisibilityFailureOrVerbose, fmt.Sprintf(
		"%s: off %s; on %s", pattern.Name, describeReturns(off), describeReturns(on),
	))
	return off, on
}

// describeReturns lists the outcomes of each seed.
func describeReturns(results []emulator.Result) string {
	var text strings.Builder
	for i := range results {
		x, short := &results[i].Returns, results[i].Kinds["short"]
		fmt.Fprintf(
			&text, "[returned %d, refused again %.2f, most returns %d and ends %d in 100 ms, short prompts on time %d, late %d, not served %d, "+
				"median error %v] ",
			x.Returned, refusedAgain(results[i:i+1]), slices.Max(x.ReturnsPer), slices.Max(x.EndsPer), short.OnTime, short.Late,
			short.NotServed, median(x.Errors),
		)
	}
	return text.String()
}

func median(values []time.Duration) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// refusedAgain returns the share of the returning callers that are refused again.
func refusedAgain(results []emulator.Result) float64 {
	returned, again := 0, 0
	for i := range results {
		returned += results[i].Returns.Returned
		again += results[i].Returns.RefusedAgain
	}
	return float64(again) / float64(returned)
}

// shortOutcomes returns the numbers of short prompts that were on time, and of those that were not served.
func shortOutcomes(results []emulator.Result) (onTime, notServed int) {
	for i := range results {
		k := results[i].Kinds["short"]
		onTime += k.OnTime
		notServed += k.NotServed
	}
	return onTime, notServed
}

// returnsIn returns the number of callers that return in each second from a time on.
func returnsIn(r *emulator.Result, from time.Duration, seconds int) []float64 {
	counts := make([]float64, seconds)
	for bucket, count := range r.Returns.ReturnsPer {
		if at := time.Duration(bucket)*100*time.Millisecond - from; at >= 0 && at < time.Duration(seconds)*time.Second {
			counts[at/time.Second] += float64(count)
		}
	}
	return counts
}

var _ = Describe("return times in a surge of short prompts", func() {
	for _, surge := range []struct {
		pattern emulator.Pattern
		// mostRefusedAgain is the largest acceptable share of returning callers that are refused again.
		mostRefusedAgain float64
	}{
		// A caller retries once, so that it is lost at its second refusal.
		{pattern: emulator.Scheduled(emulator.Surge(), 1), mostRefusedAgain: 0.25},
		// A returning caller reaches any instance, which mostly does not know the time told. It is spread, but has no precedence.
		{pattern: emulator.Surge(), mostRefusedAgain: 0.4},
	} {
		// Guards against refused callers that are told to return into the same shortage: without return times about half of
		// them are refused again. Fewer may be lost, and at most a tenth fewer newcomers may be on time for that.
		It("lets most callers be served when they return: "+surge.pattern.Name, func() {
			off, on := runReturns(surge.pattern, emulator.Outage{})
			Expect(refusedAgain(on)).To(BeNumerically("<=", surge.mostRefusedAgain))
			Expect(refusedAgain(on)).To(BeNumerically("<", refusedAgain(off)))
			onTimeOff, notServedOff := shortOutcomes(off)
			onTime, notServed := shortOutcomes(on)
			Expect(notServed).To(BeNumerically("<", notServedOff))
			Expect(float64(onTime)).To(BeNumerically(">=", 0.9*float64(onTimeOff)))
		})

		// Guards against a tenth of a second in which more callers return than requests end in the busiest one.
		It("lets no more callers return at once than requests end: "+surge.pattern.Name, func() {
			_, on := runReturns(surge.pattern, emulator.Outage{})
			for i := range on {
				Expect(slices.Max(on[i].Returns.ReturnsPer)).To(BeNumerically("<=", slices.Max(on[i].Returns.EndsPer)))
			}
		})
	}
})

var _ = Describe("return times in an outage that all instances notice", func() {
	outage := emulator.Outage{From: 4 * time.Second, To: 12 * time.Second}
	pattern := emulator.Scheduled(emulator.Surge(), 1)
	pattern.Name, pattern.Load.Phases = "outage", nil

	// Guards against callers that are told to return into the same outage: with 0.5 s only those refused in the last half
	// second, a sixteenth, return after its end. A quarter of the time limit of 10 s, which is the mean of the times told, is
	// 0.31 of the outage; a quarter of the callers must be served.
	It("lets more callers return after its end", func() {
		off, on := runReturns(pattern, outage)
		Expect(refusedAgain(on)).To(BeNumerically("<=", 0.75))
		Expect(refusedAgain(on)).To(BeNumerically("<", refusedAgain(off)))
	})

	// Guards against returns that are packed into the first moments after the outage, beside the requests that arrive. As many
	// callers return per second as are refused, so that the first second may not get more than the next one by more than a half,
	// nor more than the mean of the time in which callers return (a third of their time limit of 10 s).
	It("spreads returns over the seconds after its end", func() {
		_, on := runReturns(pattern, outage)
		for i := range on {
			perSecond := returnsIn(&on[i], outage.To, 3)
			Expect(perSecond[0]).To(BeNumerically("<=", 1.5*perSecond[1]))
			Expect(perSecond[0]).To(BeNumerically("<=", 1.5*(perSecond[1]+perSecond[2])/2))
		}
	})

	// Guards against an end of the outage at which returns and arrivals come in the same tenth of a second.
	It("lets no tenth of a second after its end get more than twice the usual requests", func() {
		_, on := runReturns(pattern, outage)
		// About 100 short prompts arrive per second, with waves of 40 %.
		const mostPerBucket = 14.0
		for i := range on {
			var buckets []float64
			for bucket, count := range on[i].Returns.ReturnsPer {
				if time.Duration(bucket)*100*time.Millisecond >= outage.To {
					buckets = append(buckets, float64(count))
				}
			}
			// Ten buckets average out the noise of arrivals.
			for from := 0; from+10 <= len(buckets); from++ {
				sum := 0.0
				for _, count := range buckets[from : from+10] {
					sum += count
				}
				Expect(sum / 10).To(BeNumerically("<=", mostPerBucket))
			}
		}
	})
})

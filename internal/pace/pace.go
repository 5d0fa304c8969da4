// Package pace derives from the answers of endpoints how fast they are and how many requests they get. The speed of an endpoint
// is compared with the published model of its engine, or with the other endpoints of a plain service. An endpoint that has just
// started or recovered gets a window of in-flight requests that grows with its answers on time (slow start). The package does no
// I/O and reads no clock.
package pace

import (
	"slices"
	"time"
)

const (
	// sampleCount is the number of latest answers from which the slowdown of an endpoint is computed.
	sampleCount = 8
	// sampleLifetime is how long an answer is evidence. A recovered endpoint is not judged by older answers.
	sampleLifetime = 3 * time.Second
	// minSamples is the least number of answers that show a slow endpoint. Two late ones are often two lost packets.
	minSamples = 3
	// partialSamples is the number of answers, all late, that show a slow endpoint to an instance that does not know the requests
	// of the others.
	partialSamples = 6
	// partialSlowFrom is slowFrom for such an instance.
	partialSlowFrom = 2.2
	// The slowdown is the quantile 1/quantileDivisor of the answers.
	quantileDivisor = 4
	// minSampleSpan is the least time for which the answers must show a slow endpoint. Answers that are late together have
	// often waited for one long prefill, or for an instance that did not run.
	minSampleSpan = 150 * time.Millisecond
	// slowFrom is the slowdown from which an endpoint counts as slow. Predictions of healthy endpoints under load err by less
	// for most requests.
	slowFrom = 1.7
	// normalBelow is the slowdown below which an answer is on time.
	normalBelow = 1.4
	// recoveredSamples is the number of successive answers on time after which a slow endpoint counts as recovered.
	recoveredSamples = 2
	// maxSlowdown bounds the slowdown. A longer delay has another cause than a slow endpoint.
	maxSlowdown = 8.0
	// answerSlack is subtracted from an observed time, for the network and the processing at the instance.
	answerSlack = 8 * time.Millisecond
	// minPredicted is the least prediction that an observed time is divided by.
	minPredicted = 25 * time.Millisecond
	// minProbeDelay is the time without an answer after which a slow endpoint is probed. Each failed probe doubles it, up to
	// maxProbeDelay.
	minProbeDelay = 1 * time.Second
	maxProbeDelay = 2 * time.Second
	// probeWindow is the window of an endpoint that is probed.
	probeWindow = 1
	// failedProbes is the number of late answers after which a probe has failed.
	failedProbes = 1
)

// sample is one answer of an endpoint: the observed time divided by the predicted one.
type sample struct {
	ratio float64
	at    time.Time
}

// samples holds the latest answers of an endpoint.
type samples struct {
	values [sampleCount]sample
	// count is the number of answers so far; the next one is stored at count modulo sampleCount.
	count uint64
}

func (s *samples) add(ratio float64, now time.Time) {
	s.values[s.count%sampleCount] = sample{ratio: ratio, at: now}
	s.count++
}

// evidence is what several answers show together: the slowdown, their number and the time of the first of them.
type evidence struct {
	slowdown float64
	count    int
	since    time.Time
}

// slowdown returns the slowdown that the answers of the last sampleLifetime show together. It is a low
// quantile, because a slow endpoint delays all its answers, whereas a lost packet or a prefill that came first delays only
// some. It is 1 if there are less than the given least number.
func (s *samples) slowdown(now time.Time, least, divisor int) evidence {
	var ratios [sampleCount]float64
	e := evidence{slowdown: 1, since: now}
	for _, v := range s.values[:min(s.count, sampleCount)] {
		if now.Sub(v.at) > sampleLifetime {
			continue
		}
		ratios[e.count] = v.ratio
		e.count++
		if v.at.Before(e.since) {
			e.since = v.at
		}
	}
	if e.count >= least {
		slices.Sort(ratios[:e.count])
		e.slowdown = max(ratios[(e.count-1)/divisor], 1)
	}
	return e
}

// lastOnTime reports whether the latest answers, as many as given, were all on time.
func (s *samples) lastOnTime(count uint64) bool {
	if s.count < count {
		return false
	}
	for i := s.count - count; i < s.count; i++ {
		if s.values[i%sampleCount].ratio >= normalBelow {
			return false
		}
	}
	return true
}

// ratioOf returns the observed time as a multiple of the predicted one.
func ratioOf(predicted, observed time.Duration) float64 {
	ratio := float64(observed-answerSlack) / float64(max(predicted, minPredicted))
	return min(max(ratio, 0), maxSlowdown)
}

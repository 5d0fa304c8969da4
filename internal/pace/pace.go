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
	// The slowdown is the quantile 1/quantileDivisor of the answers.
	quantileDivisor = 4
	// minSampleSpan is the least time between the first and the last of these answers. Answers that are late together have
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
	probeWindow = 2
	// failedProbes is the number of late answers after which a probe has failed.
	failedProbes = 2
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

// slowdown returns the slowdown that the answers of the last sampleLifetime show together, and their number. It is a low
// quantile, because a slow endpoint delays all its answers, whereas a lost packet or a prefill that came first delays only
// some. It returns 1 if there are less than the given least number.
func (s *samples) slowdown(now time.Time, least, divisor int) (slowdown float64, evidence int) {
	var ratios [sampleCount]float64
	var oldest, newest time.Time
	for _, v := range s.values[:min(s.count, sampleCount)] {
		if now.Sub(v.at) > sampleLifetime {
			continue
		}
		ratios[evidence] = v.ratio
		evidence++
		if oldest.IsZero() || v.at.Before(oldest) {
			oldest = v.at
		}
		if v.at.After(newest) {
			newest = v.at
		}
	}
	if evidence < least || newest.Sub(oldest) < minSampleSpan {
		return 1, evidence
	}
	slices.Sort(ratios[:evidence])
	return max(ratios[(evidence-1)/divisor], 1), evidence
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

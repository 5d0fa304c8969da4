package pace

import "time"

const (
	// baselineStep is the factor by which a baseline moves towards an observed latency. It is then near the median.
	baselineStep = 1.03
	// maxBaselines bounds the groups of requests that are told apart. The latencies of further ones are not used.
	maxBaselines = 1024
	// plainSamples is the number of answers that show a slow endpoint of a plain service, all of them slow: the latencies of a
	// group of requests differ more than the predictions of a model.
	plainSamples = sampleCount
)

// ObserveLatency records the answer of an endpoint whose service has no model. It is compared with the median of the requests of
// its group, for example those of a profile, at all endpoints.
func (t *Tracker) ObserveLatency(endpoint uint32, group string, latency time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[endpoint]
	baseline, known := t.baselines[group]
	if r == nil || !known && len(t.baselines) >= maxBaselines {
		return
	}
	switch {
	case !known:
		baseline = latency
	case latency > baseline:
		baseline = time.Duration(float64(baseline) * baselineStep)
	default:
		baseline = time.Duration(float64(baseline) / baselineStep)
	}
	t.baselines[group] = max(baseline, time.Microsecond)
	r.plain = true
	t.observe(endpoint, r, ratioOf(baseline, latency), now)
}

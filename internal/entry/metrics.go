package entry

import (
	"fmt"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/acacialift/acacialift/internal/pace"
)

// reservoirSize is the number of samples of a latency histogram, and reservoirAlpha the rate at which older samples lose
// weight. A uniform sample would hide recent changes.
const (
	reservoirSize  = 512
	reservoirAlpha = 0.015
)

// Metrics holds the counters, gauges and latency histograms of an entry instance. It is safe for concurrent use.
type Metrics struct {
	registry     metrics.Registry
	totalLatency metrics.Histogram
	firstLatency metrics.Histogram
}

// NewMetrics returns metrics with empty histograms. A counter or gauge appears when it is first used.
func NewMetrics() *Metrics {
	m := &Metrics{registry: metrics.NewRegistry()}
	m.totalLatency = m.histogram("request_total_ms")
	m.firstLatency = m.histogram("request_first_event_ms")
	return m
}

func (m *Metrics) histogram(name string) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, m.registry, metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
}

func (m *Metrics) count(name string) { metrics.GetOrRegisterCounter(name, m.registry).Inc(1) }

// Received counts a request whose headers are valid, before its admission.
func (m *Metrics) Received() { m.count("requests") }

// Retried counts an attempt after the first one of a request, also if the earlier attempt was not sent to an endpoint.
func (m *Metrics) Retried() { m.count("attempts_repeated") }

// ControlRequestSent counts a control request to an endpoint.
func (m *Metrics) ControlRequestSent() { m.count("orders") }

// PlacedOnLimited counts a request that was placed on an endpoint that limits its request rate.
func (m *Metrics) PlacedOnLimited() { m.count("placed_on_limited") }

// Waits counts a request that has begun to wait in a queue.
func (m *Metrics) Waits() { m.count("requests_waited") }

// EndpointCrashed counts a request whose endpoint crashed before the first event.
func (m *Metrics) EndpointCrashed() { m.count("endpoint_crashes") }

// ResponseEndedByConnection counts a response without length and chunks, which only the end of its connection has ended, and separately
// one whose end was not confirmed.
func (m *Metrics) ResponseEndedByConnection(confirmed bool) {
	m.count("responses_ended_by_connection")
	if !confirmed {
		m.count("responses_end_not_confirmed")
	}
}

// PartQuarantined counts a part whose quarantine has begun because of a request to this instance.
func (m *Metrics) PartQuarantined() { m.count("parts_quarantined") }

// PaceChanged counts a change of the pace of an endpoint.
func (m *Metrics) PaceChanged(event pace.Event) { m.count("endpoint_pace_" + string(event)) }

// Panicked counts a panic that ended a request or the handling of a message.
func (m *Metrics) Panicked() { m.count("panics") }

// CountError counts a request that ended with an error code of this instance, in an error response or an aborted connection.
func (m *Metrics) CountError(code string) { m.count("answers_" + code) }

// Ended counts the end of a request by its result and, if it is not empty, by its error code.
func (m *Metrics) Ended(result, code string, total time.Duration) {
	m.count("results_" + result)
	if code != "" {
		m.CountError(code)
	}
	m.totalLatency.Update(total.Milliseconds())
}

// FirstEvent records the time from the arrival of a request to the first event of a stream, or to the end of a response that
// is not a stream.
func (m *Metrics) FirstEvent(latency time.Duration) { m.firstLatency.Update(latency.Milliseconds()) }

// ReturnError implements returntimes.Observer. It records the first moment with capacity less the time told to a refused caller.
func (m *Metrics) ReturnError(d time.Duration) {
	m.histogram("return_error_ms").Update(d.Milliseconds())
}

// Returned implements returntimes.Observer. It counts a caller that has returned, and whether it was refused again.
func (m *Metrics) Returned(late, refusedAgain bool) {
	if late {
		m.count("returned_late")
	} else {
		m.count("returned_in_time")
	}
	if refusedAgain {
		m.count("refused_again")
	}
}

// NotReturned implements returntimes.Observer. It counts a caller that has not returned at the time that it was told.
func (m *Metrics) NotReturned() { m.count("not_returned") }

// SetGauge sets the value of a gauge.
func (m *Metrics) SetGauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(value)
}

// ServeHTTP writes all metrics in the Prometheus text format, without metadata lines.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	m.registry.Each(func(name string, value any) {
		switch metric := value.(type) {
		case metrics.Counter:
			fmt.Fprintf(w, "acacialift_%s %d\n", name, metric.Count())
		case metrics.Gauge:
			fmt.Fprintf(w, "acacialift_%s %d\n", name, metric.Value())
		case metrics.Histogram:
			writeHistogram(w, name, metric.Snapshot())
		}
	})
}

func writeHistogram(w http.ResponseWriter, name string, h metrics.Histogram) {
	fmt.Fprintf(w, "acacialift_%s_count %d\n", name, h.Count())
	for _, p := range []float64{0.5, 0.95, 0.99} {
		fmt.Fprintf(w, "acacialift_%s{quantile=\"%g\"} %.0f\n", name, p, h.Percentile(p))
	}
}

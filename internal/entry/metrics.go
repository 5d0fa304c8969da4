package entry

import (
	"fmt"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
)

// reservoirSize and reservoirAlpha configure the exponentially decaying samples of the latency histograms. A uniform sample
// would hide recent changes.
const (
	reservoirSize  = 512
	reservoirAlpha = 0.015
)

// Metrics holds the counters, gauges and latency histograms of an entry instance. It is safe for concurrent use.
type Metrics struct {
	registry metrics.Registry
	total    metrics.Histogram
	first    metrics.Histogram
}

// NewMetrics returns metrics with empty counters.
func NewMetrics() *Metrics {
	m := &Metrics{registry: metrics.NewRegistry()}
	m.total = m.histogram("request_total_ms")
	m.first = m.histogram("request_first_event_ms")
	return m
}

func (m *Metrics) histogram(name string) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, m.registry, metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
}

func (m *Metrics) count(name string) { metrics.GetOrRegisterCounter(name, m.registry).Inc(1) }

// Received counts a request.
func (m *Metrics) Received() { m.count("requests") }

// Retried counts a retry.
func (m *Metrics) Retried() { m.count("attempts_repeated") }

// ControlRequestSent counts a control request to an endpoint.
func (m *Metrics) ControlRequestSent() { m.count("orders") }

// Answered counts a response that this instance created itself, by its code.
func (m *Metrics) Answered(code string) { m.count("answers_" + code) }

// Ended counts the end of a request by its result and by the code of the response; the code may be empty.
func (m *Metrics) Ended(result, code string, total time.Duration) {
	m.count("results_" + result)
	if code != "" {
		m.Answered(code)
	}
	m.total.Update(total.Milliseconds())
}

// FirstEvent records the time to the first event of a stream, or to the end of another response.
func (m *Metrics) FirstEvent(latency time.Duration) { m.first.Update(latency.Milliseconds()) }

// Gauge sets a current value.
func (m *Metrics) Gauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(value)
}

// ServeHTTP writes all metrics, with one name and value per line.
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

package loadgen

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the measurements of a run.
type Result struct {
	Seed     uint64  `json:"seed"`
	Rate     float64 `json:"rate_per_second"`
	Requests int     `json:"requests"`
	// Started is lower than Requests if the run was interrupted.
	Started     int     `json:"started"`
	Interrupted bool    `json:"interrupted"`
	DurationS   float64 `json:"duration_s"`
	// Attempts counts all attempts, including those of duplicates and retries.
	Attempts int `json:"attempts"`
	Retries  int `json:"repeats"`
	// SentLate counts requests that the load generator itself sent more than 50 ms late. The latencies of a run with many
	// of them are not meaningful.
	SentLate int `json:"sent_late"`
	// OverBudget counts requests whose last response ended more than a second after their time budget.
	OverBudget int            `json:"over_budget"`
	Outcomes   []OutcomeCount `json:"outcomes"`
	// Latencies holds the latencies of correct responses by metric and class, measured from the planned arrival.
	Latencies      map[string]map[string]Latency `json:"latencies"`
	ViolationCount int                           `json:"violation_count"`
	// Violations lists the first violations.
	Violations []Violation `json:"violations"`

	classes    []Class
	histograms map[histogramKey]*hdrhistogram.Histogram
}

// OutcomeCount counts the requests of one class with the same outcome, stage and code.
type OutcomeCount struct {
	Class   string `json:"class"`
	Outcome string `json:"outcome"`
	Stage   string `json:"stage"`
	Code    string `json:"code"`
	Count   int    `json:"count"`
}

// Latency is a latency distribution in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Violation is a response that violates a guarantee to the caller.
type Violation struct {
	Request int    `json:"request"`
	Class   string `json:"class"`
	Gateway string `json:"gateway"`
	Kind    string `json:"kind"`
	Detail  string `json:"detail"`
}

// metrics lists the measured quantities in the order of the table.
var metrics = []string{MetricFirstToken, MetricBetweenToken, MetricTotal}

func newResult(o Options, r *recorder, started int, took time.Duration, interrupted bool) *Result {
	result := &Result{
		Seed:           o.Seed,
		Rate:           o.Rate,
		Requests:       o.Requests,
		Started:        started,
		Interrupted:    interrupted,
		DurationS:      took.Seconds(),
		Attempts:       r.attempts,
		Retries:        r.retries,
		SentLate:       r.sentLate,
		OverBudget:     r.overBudget,
		Outcomes:       r.outcomeCounts(),
		Latencies:      make(map[string]map[string]Latency),
		ViolationCount: r.violationCount,
		Violations:     r.violations,
		classes:        append(append([]Class{}, o.Classes...), serviceClasses()...),
		histograms:     r.histograms,
	}
	for key, histogram := range r.histograms {
		if result.Latencies[key.metric] == nil {
			result.Latencies[key.metric] = make(map[string]Latency)
		}
		result.Latencies[key.metric][key.class] = summarize(histogram)
	}
	return result
}

func serviceClasses() []Class {
	return []Class{{Name: ClassBooking}, {Name: ClassDuplicate}, {Name: ClassRead}}
}

func summarize(h *hdrhistogram.Histogram) Latency {
	at := func(percentile float64) float64 { return milliseconds(float64(h.ValueAtPercentile(percentile))) }
	return Latency{
		Count: h.TotalCount(),
		Mean:  milliseconds(h.Mean()),
		P50:   at(50),
		P90:   at(90),
		P95:   at(95),
		P99:   at(99),
		P999:  at(99.9),
		Max:   milliseconds(float64(h.Max())),
	}
}

// milliseconds converts from the histograms' unit.
func milliseconds(value float64) float64 {
	return value * float64(histogramUnit) / float64(time.Millisecond)
}

// Combined returns the distribution of a metric over several classes. The result must not have been read from a file,
// which holds no histograms.
func (r *Result) Combined(metric string, classes []string) Latency {
	sum := hdrhistogram.New(1, histogramMax, histogramDigits)
	for _, class := range classes {
		if histogram := r.histograms[histogramKey{metric: metric, class: class}]; histogram != nil {
			sum.Merge(histogram)
		}
	}
	return summarize(sum)
}

// Err returns an error that describes the violations, or nil if there are none.
func (r *Result) Err() error {
	if r.ViolationCount == 0 {
		return nil
	}
	first := r.Violations[0]
	return fmt.Errorf("%d violations; the first one: request %d (%s): %s: %s",
		r.ViolationCount, first.Request, first.Class, first.Kind, first.Detail)
}

// WriteTable writes the result as text tables.
func (r *Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "requests %d of %d, attempts %d, retries %d, sent late %d, over budget %d, violations %d, %.1f s\n\n",
		r.Started, r.Requests, r.Attempts, r.Retries, r.SentLate, r.OverBudget, r.ViolationCount, r.DurationS)
	fmt.Fprintln(t, "class\toutcome\tstage\tcode\tcount")
	for _, o := range r.Outcomes {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\n", o.Class, o.Outcome, o.Stage, o.Code, o.Count)
	}
	fmt.Fprintln(t, "\nmetric\tclass\tcount\tp50 ms\tp95 ms\tp99 ms\tmax ms")
	for _, metric := range metrics {
		for _, class := range r.classes {
			l, ok := r.Latencies[metric][class.Name]
			if !ok {
				continue
			}
			fmt.Fprintf(t, "%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\n", metric, class.Name, l.Count, l.P50, l.P95, l.P99, l.Max)
		}
	}
	return t.Flush()
}

// The names of the files that WriteFiles creates, in addition to a histogram METRIC-CLASS.hgrm for each distribution.
const (
	ResultFile = "result.json"
	PlotFile   = "first_token.png"
)

// WriteFiles creates the directory and writes the JSON result, the histograms and the plot into it.
func (r *Result) WriteFiles(directory string) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	encoded, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(directory, ResultFile), append(encoded, '\n'), 0o644); err != nil {
		return err
	}
	for key, histogram := range r.histograms {
		name := fmt.Sprintf("%s-%s.hgrm", key.metric, key.class)
		if err := writeHistogram(filepath.Join(directory, name), histogram); err != nil {
			return err
		}
	}
	return r.writePlot(filepath.Join(directory, PlotFile))
}

// histogramTicks is the resolution of a histogram file: the number of points per halving of the distance to 100%.
const histogramTicks = 5

// writeHistogram writes a percentile distribution in milliseconds.
func writeHistogram(path string, histogram *hdrhistogram.Histogram) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
	}()
	scale := float64(time.Millisecond / histogramUnit)
	_, err = histogram.PercentilesPrint(file, histogramTicks, scale)
	return err
}

// ReadResult reads a JSON result.
func ReadResult(path string) (*Result, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var result Result
	if err := json.Unmarshal(raw, &result); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &result, nil
}

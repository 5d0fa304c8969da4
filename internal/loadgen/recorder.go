package loadgen

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/acacialift/acacialift/internal/outcome"
)

// The measured quantities.
const (
	MetricFirstToken   = "first_token"
	MetricBetweenToken = "between_tokens"
	MetricTotal        = "total"
)

// Histograms count microseconds up to one hour with three significant digits.
const (
	histogramUnit   = time.Microsecond
	histogramMax    = int64(time.Hour / histogramUnit)
	histogramDigits = 3
)

// maxListedViolations bounds the violations that a result describes; all are counted.
const maxListedViolations = 100

type histogramKey struct {
	metric string
	class  string
}

type outcomeKey struct {
	class   string
	outcome string
	stage   string
	code    string
}

// recorder collects what a run measures.
type recorder struct {
	mu         sync.Mutex
	histograms map[histogramKey]*hdrhistogram.Histogram
	outcomes   map[outcomeKey]int
	violations []Violation
	violated   int
	attempts   int
	repeats    int
	sentLate   int
	overBudget int
	// keys holds the outcomes of the attempts of each Idempotency-Key; notRun the ids of requests refused as not_run.
	keys   map[string][]string
	notRun map[string]bool
}

func newRecorder() *recorder {
	return &recorder{
		histograms: make(map[histogramKey]*hdrhistogram.Histogram),
		outcomes:   make(map[outcomeKey]int),
		keys:       make(map[string][]string),
		notRun:     make(map[string]bool),
	}
}

// attempted records what is known after each attempt, the last one too.
func (r *recorder) attempted(a attempt, v verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts++
	if a.key != "" {
		r.keys[a.key] = append(r.keys[a.key], v.outcome)
	}
	if v.final != nil && v.final.Outcome == outcome.NotRun && v.final.RequestID != "" {
		r.notRun[v.final.RequestID] = true
	}
	if v.violation != nil {
		r.addViolation(Violation{
			Request: a.job.index,
			Class:   a.job.class.Name,
			Gateway: a.gateway,
			Kind:    v.violation.kind,
			Detail:  v.violation.detail,
		})
	}
}

func (r *recorder) addViolation(v Violation) {
	r.violated++
	if len(r.violations) < maxListedViolations {
		r.violations = append(r.violations, v)
	}
}

func (r *recorder) repeated() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.repeats++
}

func (r *recorder) lateStart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sentLate++
}

// finished records the last verdict of a request and its times, counted from the planned arrival.
func (r *recorder) finished(class string, v verdict, arrival, end time.Time, budget time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[outcomeKey{class: class, outcome: v.outcome, stage: v.stage, code: v.code}]++
	if budget > 0 && end.Sub(arrival) > budget+budgetSlack {
		r.overBudget++
	}
	if v.outcome != OutcomeOK {
		return
	}
	r.record(MetricTotal, class, end.Sub(arrival))
	if !v.firstToken.IsZero() {
		r.record(MetricFirstToken, class, v.firstToken.Sub(arrival))
	}
	for _, gap := range v.tokenGaps {
		r.record(MetricBetweenToken, class, gap)
	}
}

// budgetSlack is the time that an answer may take on its way before it counts as over budget.
const budgetSlack = time.Second

func (r *recorder) record(metric, class string, value time.Duration) {
	key := histogramKey{metric: metric, class: class}
	histogram := r.histograms[key]
	if histogram == nil {
		histogram = hdrhistogram.New(1, histogramMax, histogramDigits)
		r.histograms[key] = histogram
	}
	// The value is clamped into the histogram's range, so that recording cannot fail.
	_ = histogram.RecordValue(min(max(int64(value/histogramUnit), 1), histogramMax))
}

func (r *recorder) outcomeCounts() []OutcomeCount {
	counts := make([]OutcomeCount, 0, len(r.outcomes))
	for key, n := range r.outcomes {
		counts = append(counts, OutcomeCount{
			Class:   key.class,
			Outcome: key.outcome,
			Stage:   key.stage,
			Code:    key.code,
			Count:   n,
		})
	}
	slices.SortFunc(counts, func(a, b OutcomeCount) int {
		return cmp.Or(
			cmp.Compare(a.Class, b.Class),
			cmp.Compare(a.Outcome, b.Outcome),
			cmp.Compare(a.Stage, b.Stage),
			cmp.Compare(a.Code, b.Code),
		)
	})
	return counts
}

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

// maxListedViolations is the maximum number of violations that a result lists; all of them are counted.
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

// recorder collects the measurements of a run.
type recorder struct {
	mu             sync.Mutex
	histograms     map[histogramKey]*hdrhistogram.Histogram
	outcomes       map[outcomeKey]int
	violations     []Violation
	violationCount int
	attempts       int
	retries        int
	sentLate       int
	overBudget     int
	// keys holds the outcomes of all attempts of each Idempotency-Key, notRun the ids of requests with the outcome not_run.
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

// recordAttempt records the result of one attempt, including the last attempt of a request.
func (r *recorder) recordAttempt(a attempt, result attemptResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts++
	if a.key != "" {
		r.keys[a.key] = append(r.keys[a.key], result.outcome)
	}
	if result.errorBody != nil && result.errorBody.Outcome == outcome.NotRun && result.errorBody.RequestID != "" {
		r.notRun[result.errorBody.RequestID] = true
	}
	if result.violation != nil {
		r.addViolation(Violation{
			Request: a.job.index,
			Class:   a.job.class.Name,
			Gateway: a.gateway,
			Kind:    result.violation.kind,
			Detail:  result.violation.detail,
		})
	}
}

func (r *recorder) addViolation(v Violation) {
	r.violationCount++
	if len(r.violations) < maxListedViolations {
		r.violations = append(r.violations, v)
	}
}

func (r *recorder) countRetry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retries++
}

func (r *recorder) countLate() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sentLate++
}

// recordRequest records the last result of a request and its times since the planned arrival.
func (r *recorder) recordRequest(class string, result attemptResult, arrival, end time.Time, budget time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[outcomeKey{class: class, outcome: result.outcome, stage: result.stage, code: result.code}]++
	if budget > 0 && end.Sub(arrival) > budget+budgetSlack {
		r.overBudget++
	}
	if result.outcome != OutcomeOK {
		return
	}
	r.recordLatency(MetricTotal, class, end.Sub(arrival))
	if !result.firstToken.IsZero() {
		r.recordLatency(MetricFirstToken, class, result.firstToken.Sub(arrival))
	}
	for _, gap := range result.tokenGaps {
		r.recordLatency(MetricBetweenToken, class, gap)
	}
}

// budgetSlack is added to the time budget of a request, because its response also takes time to arrive.
const budgetSlack = time.Second

func (r *recorder) recordLatency(metric, class string, value time.Duration) {
	key := histogramKey{metric: metric, class: class}
	histogram := r.histograms[key]
	if histogram == nil {
		histogram = hdrhistogram.New(1, histogramMax, histogramDigits)
		r.histograms[key] = histogram
	}
	// RecordValue cannot fail, because the value is clamped to the histogram's range.
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

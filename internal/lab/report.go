package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"

	"github.com/acacialift/acacialift/internal/loadgen"
	"github.com/acacialift/acacialift/internal/outcome"
)

// The goals to which the tables compare the results.
const (
	// GoalShortSlowdown bounds the ratio of the short prompts' p95 with long prompts to their p95 without.
	GoalShortSlowdown = 1.10
	// GoalOutMS bounds the time from taking a failure domain out of service until the last start in it.
	GoalOutMS = 5000
)

// Spread is the median and the range of a metric over several runs.
type Spread struct {
	Median, Min, Max float64
	Runs             int
}

// NewSpread returns the spread of the values; without values it is the zero Spread.
func NewSpread(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	median := sorted[middle]
	if len(sorted)%2 == 0 {
		median = (sorted[middle-1] + sorted[middle]) / 2
	}
	return Spread{Median: median, Min: sorted[0], Max: sorted[len(sorted)-1], Runs: len(sorted)}
}

// format returns the median, followed by the range if there are several runs.
func (s Spread) format(digits int) string {
	switch s.Runs {
	case 0:
		return "-"
	case 1:
		return fmt.Sprintf("%.*f", digits, s.Median)
	default:
		return fmt.Sprintf("%.*f (%.*f to %.*f)", digits, s.Median, digits, s.Min, digits, s.Max)
	}
}

// ReadRuns reads the results in a folder, ordered by file name.
func ReadRuns(folder string) ([]*Run, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, err
	}
	var runs []*Run
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		var run Run
		if err := json.Unmarshal(data, &run); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		if run.Variant != "" {
			runs = append(runs, &run)
		}
	}
	return runs, nil
}

// WriteReport prints the tables of the results in a folder.
func WriteReport(folder string, w io.Writer) error {
	runs, err := ReadRuns(folder)
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, deployment := range distinctNames(runs, func(r *Run) string { return r.Deployment }) {
		writeDeployment(t, slices.DeleteFunc(slices.Clone(runs), func(r *Run) bool { return r.Deployment != deployment }))
	}
	return t.Flush()
}

// distinctNames returns the distinct values of a field, with SystemVariant first.
func distinctNames(runs []*Run, field func(*Run) string) []string {
	var found []string
	for _, run := range runs {
		if name := field(run); !slices.Contains(found, name) {
			found = append(found, name)
		}
	}
	slices.SortStableFunc(found, func(a, b string) int {
		return boolRank(a != SystemVariant) - boolRank(b != SystemVariant)
	})
	return found
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

func writeDeployment(w io.Writer, runs []*Run) {
	first := runs[0]
	fmt.Fprintf(w, "\n%s, seed %d, commit %s, %s, %d cores", first.Deployment, first.Seed, first.Commit, first.Date, first.Cores)
	if first.Parallel {
		fmt.Fprint(w, ", variants in parallel")
	}
	if first.Note != "" {
		fmt.Fprintf(w, ", %s", first.Note)
	}
	fmt.Fprintln(w, "\nmedian of the runs (range); a ratio is that of the medians, baseline over system")
	variants := distinctNames(runs, func(r *Run) string { return r.Variant })
	writeFirstToken(w, runs, variants)
	fmt.Fprintln(w, "\nMEASURE\tGOAL\tVARIANT\tRESULT\tRATIO")
	for _, row := range rows {
		writeRow(w, runs, variants, row)
	}
}

func writeFirstToken(w io.Writer, runs []*Run, variants []string) {
	fmt.Fprintln(w, "\nTIME TO FIRST TOKEN\tVARIANT\tCOUNT\tP50 MS\tP95 MS\tP99 MS\tP95 RATIO")
	for _, class := range loadgen.DefaultClasses(longShare) {
		var system Spread
		for _, variant := range variants {
			count := int64(0)
			latency := func(percentile func(loadgen.Latency) float64) Spread {
				count = 0
				return spreadOf(runs, variant, func(r *Run) (float64, bool) {
					l, ok := r.WithLong.Latencies[loadgen.MetricFirstToken][class.Name]
					count += l.Count
					return percentile(l), ok
				})
			}
			p50 := latency(func(l loadgen.Latency) float64 { return l.P50 })
			p95 := latency(func(l loadgen.Latency) float64 { return l.P95 })
			p99 := latency(func(l loadgen.Latency) float64 { return l.P99 })
			if variant == SystemVariant {
				system = p95
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\n", class.Name, variant, count, p50.format(0), p95.format(0),
				p99.format(0), ratio(p95, system))
		}
	}
}

// spreadOf returns the spread of a metric over the runs of a variant that have a value.
func spreadOf(runs []*Run, variant string, valueOf func(*Run) (float64, bool)) Spread {
	var values []float64
	for _, run := range runs {
		if run.Variant != variant {
			continue
		}
		if value, ok := valueOf(run); ok {
			values = append(values, value)
		}
	}
	return NewSpread(values)
}

func ratio(s, system Spread) string {
	if s.Runs == 0 || system.Median == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", s.Median/system.Median)
}

// row describes a line of the table of metrics other than the time to the first token by class.
type row struct {
	name   string
	goal   string
	digits int
	value  func(*Run) (float64, bool)
}

// always adapts a metric that has a value in every run.
func always(valueOf func(*Run) float64) func(*Run) (float64, bool) {
	return func(r *Run) (float64, bool) { return valueOf(r), true }
}

var rows = []row{
	{"short prompts' p95 with over without long ones", fmt.Sprintf("at most %.2f", GoalShortSlowdown), 2, slowdown},
	{"short prompts' p95 with long ones, ms", "", 1, always(func(r *Run) float64 { return r.ShortWithLong.P95 })},
	{"short prompts' p95 without long ones, ms", "", 1, always(func(r *Run) float64 { return r.ShortWithoutLong.P95 })},
	{"mixed load: answered in time, %", "", 1, always(func(r *Run) float64 { return 100 * answeredFraction(r.WithLong) })},
	{"mixed load: admitted and lost", "0", 0, always(func(r *Run) float64 { return float64(lost(r.WithLong) + lost(r.WithoutLong)) })},
	{"mixed load: started and out of budget", "", 0, always(func(r *Run) float64 { return float64(outOfBudget(r.WithLong) + outOfBudget(r.WithoutLong)) })},
	{"mixed load: crashes of cold engines", "0", 0, always(func(r *Run) float64 { return float64(r.ColdCrashes) })},
	{"domain: answered in time, %", "", 1, always(func(r *Run) float64 { return 100 * answeredFraction(r.Domain.Load) })},
	{"domain: admitted and lost", "0", 0, always(func(r *Run) float64 { return float64(lost(r.Domain.Load)) })},
	{"domain: started and out of budget", "", 0, always(func(r *Run) float64 { return float64(outOfBudget(r.Domain.Load)) })},
	{"domain: last new work after publication, ms", fmt.Sprintf("at most %d", GoalOutMS), 0, always(func(r *Run) float64 { return r.Domain.LastStartMS })},
	{"domain: its share of the starts after return, ms", "", 0, returnTime},
	{"domain: share of the starts at the end, %", "", 0, always(func(r *Run) float64 { return 100 * r.Domain.EndShare })},
	{"domain: crashes of cold engines", "0", 0, always(func(r *Run) float64 { return float64(r.Domain.ColdCrashes) })},
	{"violations", "0", 0, always(violations)},
	{"sent late by the tool", "few", 0, always(sentLate)},
	{"CPU of the machine, %", "below 60", 0, always(func(r *Run) float64 { return 100 * max(r.CPUShare, r.Domain.CPUShare) })},
}

func writeRow(w io.Writer, runs []*Run, variants []string, r row) {
	system := spreadOf(runs, SystemVariant, r.value)
	for _, variant := range variants {
		s := spreadOf(runs, variant, r.value)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", r.name, r.goal, variant, s.format(r.digits), ratio(s, system))
	}
}

func slowdown(r *Run) (float64, bool) {
	if r.ShortWithoutLong.P95 == 0 {
		return 0, false
	}
	return r.ShortWithLong.P95 / r.ShortWithoutLong.P95, true
}

func returnTime(r *Run) (float64, bool) { return r.Domain.ShareMS, r.Domain.ShareMS >= 0 }

func violations(r *Run) float64 {
	return float64(r.WithLong.ViolationCount + r.WithoutLong.ViolationCount + r.Domain.Load.ViolationCount)
}

func sentLate(r *Run) float64 {
	return float64(r.WithLong.SentLate + r.WithoutLong.SentLate + r.Domain.Load.SentLate)
}

// answeredFraction returns the fraction of all requests that got a complete response within their budget.
func answeredFraction(r *loadgen.Result) float64 {
	answered, all := 0, 0
	for _, o := range r.Outcomes {
		all += o.Count
		if o.Outcome == loadgen.OutcomeOK {
			answered += o.Count
		}
	}
	return float64(answered) / float64(max(all, 1))
}

// lost counts the requests that may have been executed and got no complete response, except those whose time budget ended.
// A request that was refused with not_run is not lost.
func lost(r *loadgen.Result) int {
	n := 0
	for _, o := range r.Outcomes {
		if o.Outcome != loadgen.OutcomeOK && o.Outcome != string(outcome.NotRun) {
			n += o.Count
		}
	}
	return n - outOfBudget(r)
}

// outOfBudget counts the requests whose time budget ended after an endpoint had started them.
func outOfBudget(r *loadgen.Result) int {
	n := 0
	for _, o := range r.Outcomes {
		if o.Outcome == string(outcome.Unknown) && o.Code == deadlineCode {
			n += o.Count
		}
	}
	return n
}

// deadlineCode is the gateway's error code for a request whose budget ended before its response was complete.
const deadlineCode = "deadline_exceeded"

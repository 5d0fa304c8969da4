package loadgen

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// Spread is the median and the range of one percentile over repeated runs.
type Spread struct {
	Median float64
	Min    float64
	Max    float64
	// Runs is the number of runs that have the value.
	Runs int
}

// Comparison is the change of all percentiles between two sets of runs.
type Comparison struct {
	Rows []ComparisonRow
}

// ComparisonRow is the change of one percentile of one class.
type ComparisonRow struct {
	Metric     string
	Class      string
	Percentile string
	// Before and After are in milliseconds.
	Before Spread
	After  Spread
	// Ratio is the median of After divided by the median of Before. MinRatio and MaxRatio are the smallest and the largest
	// ratio of any run of After to any run of Before: if 1 lies between them, the runs show no change.
	Ratio    float64
	MinRatio float64
	MaxRatio float64
}

// ReadResults reads the results of repeated runs from a comma-separated list of paths.
func ReadResults(paths string) ([]*Result, error) {
	var results []*Result
	for path := range strings.SplitSeq(paths, ",") {
		result, err := ReadResult(path)
		if err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	return results, nil
}

// comparedPercentiles are the percentiles of a Comparison.
var comparedPercentiles = []struct {
	name  string
	value func(Latency) float64
}{
	{"p50", func(l Latency) float64 { return l.P50 }},
	{"p95", func(l Latency) float64 { return l.P95 }},
	{"p99", func(l Latency) float64 { return l.P99 }},
}

// Compare returns the change of each percentile that both sets of runs have.
func Compare(before, after []*Result) Comparison {
	var comparison Comparison
	for _, metric := range metrics {
		for _, class := range classNames(slices.Concat(before, after)) {
			for _, percentile := range comparedPercentiles {
				a := collect(before, metric, class, percentile.value)
				b := collect(after, metric, class, percentile.value)
				if len(a) == 0 || len(b) == 0 {
					continue
				}
				row := compareValues(a, b)
				row.Metric, row.Class, row.Percentile = metric, class, percentile.name
				comparison.Rows = append(comparison.Rows, row)
			}
		}
	}
	return comparison
}

// classNames returns the classes of the results: the default classes in their order, then all other classes by name.
func classNames(results []*Result) []string {
	var names []string
	for _, class := range append(DefaultClasses(defaultLongShare), serviceClasses()...) {
		names = append(names, class.Name)
	}
	others := make(map[string]bool)
	for _, result := range results {
		for _, byClass := range result.Latencies {
			for class := range byClass {
				others[class] = !slices.Contains(names, class)
			}
		}
	}
	for _, class := range slices.Sorted(maps.Keys(others)) {
		if others[class] {
			names = append(names, class)
		}
	}
	return names
}

func collect(results []*Result, metric, class string, value func(Latency) float64) []float64 {
	var values []float64
	for _, result := range results {
		if l, ok := result.Latencies[metric][class]; ok && value(l) > 0 {
			values = append(values, value(l))
		}
	}
	slices.Sort(values)
	return values
}

// compareValues compares sorted positive values.
func compareValues(before, after []float64) ComparisonRow {
	a, b := spreadOf(before), spreadOf(after)
	return ComparisonRow{
		Before:   a,
		After:    b,
		Ratio:    b.Median / a.Median,
		MinRatio: b.Min / a.Max,
		MaxRatio: b.Max / a.Min,
	}
}

func spreadOf(sorted []float64) Spread {
	middle := len(sorted) / 2
	median := sorted[middle]
	if len(sorted)%2 == 0 {
		median = (sorted[middle-1] + sorted[middle]) / 2
	}
	return Spread{Median: median, Min: sorted[0], Max: sorted[len(sorted)-1], Runs: len(sorted)}
}

// WriteTable writes the comparison as a text table.
func (c Comparison) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "metric\tclass\tpercentile\tbefore ms (min-max, runs)\tafter ms (min-max, runs)\tratio (min-max)")
	for _, row := range c.Rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.3f (%.3f-%.3f)\n",
			row.Metric, row.Class, row.Percentile, row.Before, row.After, row.Ratio, row.MinRatio, row.MaxRatio)
	}
	return t.Flush()
}

// String returns the median with the range and the number of runs.
func (s Spread) String() string {
	return fmt.Sprintf("%.2f (%.2f-%.2f, %d)", s.Median, s.Min, s.Max, s.Runs)
}

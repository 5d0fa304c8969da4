package pace_test

import (
	"testing"
	"time"

	"github.com/acacialift/acacialift/internal/pace"
)

const benchEndpoints = 300

func benchTracker() *pace.Tracker {
	t := pace.NewTracker()
	for e := range uint32(benchEndpoints) {
		t.Assess(e, condition, start)
		for i := range 3 {
			t.Place([]pace.Share{{Endpoint: e, Predicted: predicted}}, predicted/2, true, start.Add(time.Duration(i)*time.Millisecond))
		}
	}
	return t
}

// BenchmarkAssess measures the assessment of all candidates of a placement, each with three requests that wait.
func BenchmarkAssess(b *testing.B) {
	t := benchTracker()
	now := start.Add(10 * time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		for e := range uint32(benchEndpoints) {
			t.Assess(e, condition, now)
		}
	}
}

// BenchmarkServe measures what is recorded of one request from its placement to its end.
func BenchmarkServe(b *testing.B) {
	t := benchTracker()
	now := start
	shares := []pace.Share{{Endpoint: 1, Predicted: predicted}}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		q := t.Place(shares, predicted/2, true, now)
		q.FirstEvent(predicted, now)
		q.End(now)
	}
}

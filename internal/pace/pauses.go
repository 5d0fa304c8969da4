package pace

import (
	"slices"
	"time"
)

const (
	// pauseCount is the number of latest pauses of a stream that are evidence. A stream shows in three passes whether its
	// engine has become slow or has recovered.
	pauseCount = 3
	// lowPause is the index of the pause that counts among the sorted ones. The shortest may be that after a lost packet, and
	// longer ones may include the prefill of other prompts.
	lowPause = 1
	// reportFrom is the multiple of the shortest possible pass from which a stream reports its pauses before its end.
	reportFrom = 1.6
	// reportInterval is the least time between two reports of a stream.
	reportInterval = 300 * time.Millisecond
)

// Pauses holds the latest pauses between the events of one stream. The zero value is ready for use.
type Pauses struct {
	latest    [pauseCount]time.Duration
	count     int
	lastEvent time.Time
	reported  time.Time
	// late is true if the latest report suggested a slow endpoint.
	late bool
}

// Event records that events have arrived. Events that arrive together have no pause.
func (p *Pauses) Event(now time.Time) {
	if !p.lastEvent.IsZero() {
		p.latest[p.count%pauseCount] = now.Sub(p.lastEvent)
		p.count++
	}
	p.lastEvent = now
}

// Low returns a low quantile of the latest pauses; zero if there were too few.
func (p *Pauses) Low() time.Duration {
	if p.count < pauseCount {
		return 0
	}
	sorted := p.latest
	slices.Sort(sorted[:])
	return sorted[lowPause]
}

// ReportDue reports whether the pauses are to be reported before the end of the stream: they suggest a slow endpoint, or no longer
// do. shortest is the pass that the model predicts for the stream alone. The receiver judges the pauses by all streams of the
// endpoint.
func (p *Pauses) ReportDue(shortest time.Duration, now time.Time) bool {
	late := float64(p.Low()) >= reportFrom*float64(max(shortest, minPredicted))
	if !late && !p.late || late && now.Sub(p.reported) < reportInterval {
		return false
	}
	p.reported, p.late = now, late
	return true
}

package clock

import (
	"sync"
	"time"
)

// MinPause is the shortest pause that a PauseDetector notices.
const MinPause = time.Second

// PauseDetector notices when this process has not run for a while, because its machine was frozen or suspended, or the process was
// stopped. What arrived in such a pause is seen only after it, and may be older than it seems. The zero value notices nothing before the
// first observation.
type PauseDetector struct {
	mu sync.Mutex
	// observed is the boot-time of the last observation, and pauseEnd that of the end of the last pause.
	observed, pauseEnd time.Duration
}

// NewPauseDetector returns a detector that has observed that the process runs.
func NewPauseDetector() *PauseDetector {
	d := &PauseDetector{}
	d.Observe()
	return d
}

// Observe states that the process runs. It must be called regularly, several times within MinPause.
func (d *PauseDetector) Observe() { d.observe(Boot()) }

func (d *PauseDetector) observe(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.observed > 0 && now-d.observed > MinPause {
		d.pauseEnd = now
	}
	d.observed = now
}

// PausedSince reports whether the process has paused after a boot-time.
func (d *PauseDetector) PausedSince(since time.Duration) bool { return d.pausedSince(since, Boot()) }

func (d *PauseDetector) pausedSince(since, now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	// After a pause, another goroutine than the one that observes may run first.
	isPausing := d.observed > 0 && now-d.observed > MinPause
	return d.pauseEnd > since || isPausing
}

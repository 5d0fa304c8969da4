package scheduler

import (
	"sync"
	"time"

	"github.com/acacialift/acacialift/internal/panics"
)

const (
	// minDispatchInterval is the least time between two dispatches of waiting requests. Several requests end within it at high
	// load, and each dispatch compares placements of the first waiting requests.
	minDispatchInterval = 4 * time.Millisecond
	// maxDispatchInterval is the time between two dispatches while requests wait and nothing has changed: prefills proceed and
	// requests become late.
	maxDispatchInterval = 20 * time.Millisecond
)

// dispatcher runs a dispatch of waiting requests when it may be useful, and at least every maxDispatchInterval while requests
// wait.
type dispatcher struct {
	// run dispatches and reports whether requests still wait.
	run    func(now time.Time) bool
	panics *panics.Recorder

	mu   sync.Mutex
	last time.Time
	// timer is nil unless a dispatch is scheduled, at due. generation distinguishes it from timers that it has replaced.
	timer      *time.Timer
	due        time.Time
	generation int
}

// wake schedules a dispatch: as soon as minDispatchInterval allows if soon is true, otherwise within maxDispatchInterval.
func (d *dispatcher) wake(soon bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	due := now.Add(maxDispatchInterval)
	if soon {
		due = now
		if next := d.last.Add(minDispatchInterval); next.After(now) {
			due = next
		}
	}
	if d.timer != nil {
		if !d.due.After(due) {
			return
		}
		d.timer.Stop()
	}
	d.generation++
	generation := d.generation
	d.due, d.timer = due, time.AfterFunc(due.Sub(now), func() { d.fire(generation) })
}

func (d *dispatcher) fire(generation int) {
	now := time.Now()
	d.mu.Lock()
	if d.timer == nil || generation != d.generation {
		d.mu.Unlock()
		return
	}
	d.timer, d.last = nil, now
	d.mu.Unlock()
	waits := true
	d.panics.Recover("dispatch of waiting requests", func() { waits = d.run(now) })
	if waits {
		d.wake(false)
	}
}

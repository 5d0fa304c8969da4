// Package limit keeps the bounds that hold for all instances together, by fixed shares that need no agreement.
package limit

import (
	"sync"
	"time"
)

// Window counts events in a sliding window.
type Window struct {
	length time.Duration
	times  []time.Time
}

// NewWindow returns an empty window of the given length.
func NewWindow(length time.Duration) *Window { return &Window{length: length} }

// Add counts an event.
func (w *Window) Add(now time.Time) {
	w.drop(now)
	w.times = append(w.times, now)
}

// Count returns the number of events in the window that ends now.
func (w *Window) Count(now time.Time) int {
	w.drop(now)
	return len(w.times)
}

func (w *Window) drop(now time.Time) {
	gone := 0
	for gone < len(w.times) && now.Sub(w.times[gone]) >= w.length {
		gone++
	}
	w.times = w.times[gone:]
}

// RetryBudgetOptions configures a RetryBudget.
type RetryBudgetOptions struct {
	// Ratio is the number of retries that all instances together may send for each request.
	Ratio float64
	// Slack is the additional number of retries in a window that all instances together may send.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Fleet computes this instance's share of Slack.
	Fleet *FleetShare
}

// safety keeps the shares below the bound, because windows of instances and of endpoints do not coincide.
const safety = 0.8

// RetryBudget is this instance's share of the retry budget of all services. It is safe for concurrent use.
type RetryBudget struct {
	mu       sync.Mutex
	options  RetryBudgetOptions
	requests map[string]*Window
	repeats  map[string]*Window
}

// NewRetryBudget returns a budget whose share begins empty: a restarted instance may have used up its share before.
func NewRetryBudget(options RetryBudgetOptions) *RetryBudget {
	return &RetryBudget{options: options, requests: make(map[string]*Window), repeats: make(map[string]*Window)}
}

// CountRequest counts a first attempt to send a request to the service.
func (r *RetryBudget) CountRequest(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window(r.requests, service).Add(now)
}

// Take counts a retry and reports whether the share allows it.
func (r *RetryBudget) Take(service string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	allowed := safety * r.options.Ratio * float64(r.window(r.requests, service).Count(now))
	allowed += safety * r.options.Slack * r.options.Fleet.Share(now)
	repeats := r.window(r.repeats, service)
	if float64(repeats.Count(now)+1) > allowed {
		return false
	}
	repeats.Add(now)
	return true
}

func (r *RetryBudget) window(windows map[string]*Window, service string) *Window {
	w := windows[service]
	if w == nil {
		w = NewWindow(r.options.Window)
		windows[service] = w
	}
	return w
}

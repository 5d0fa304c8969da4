// Package limit enforces fleet-wide bounds. Either each instance uses its own share of the bound, or one instance grants
// requests for all instances.
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
	w.dropExpired(now)
	w.times = append(w.times, now)
}

// Count returns the number of events in the window that ends now.
func (w *Window) Count(now time.Time) int {
	w.dropExpired(now)
	return len(w.times)
}

func (w *Window) dropExpired(now time.Time) {
	expired := 0
	for expired < len(w.times) && now.Sub(w.times[expired]) >= w.length {
		expired++
	}
	w.times = w.times[expired:]
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

// safetyFactor keeps the shares below the bound, because the windows of instances and endpoints do not coincide.
const safetyFactor = 0.8

// RetryBudget is this instance's share of the retry budgets of all services. It is safe for concurrent use.
type RetryBudget struct {
	mu       sync.Mutex
	options  RetryBudgetOptions
	requests map[string]*Window
	retries  map[string]*Window
}

// NewRetryBudget returns a budget without retries at the start, because a restarted instance may have used its share
// before.
func NewRetryBudget(options RetryBudgetOptions) *RetryBudget {
	return &RetryBudget{options: options, requests: make(map[string]*Window), retries: make(map[string]*Window)}
}

// CountRequest counts a first attempt to send a request to the service.
func (r *RetryBudget) CountRequest(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window(r.requests, service).Add(now)
}

// Take counts a retry if this instance's share allows it. Otherwise it returns false.
func (r *RetryBudget) Take(service string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	allowed := safetyFactor * r.options.Ratio * float64(r.window(r.requests, service).Count(now))
	allowed += safetyFactor * r.options.Slack * r.options.Fleet.Share(now)
	retries := r.window(r.retries, service)
	if float64(retries.Count(now)+1) > allowed {
		return false
	}
	retries.Add(now)
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

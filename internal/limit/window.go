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

// RetryOptions configures Retries.
type RetryOptions struct {
	// Ratio is the number of repeats that all instances together may send for each request.
	Ratio float64
	// Slack is the number of repeats in a window that all instances together may send besides.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Fleet tells among how many instances Slack is divided.
	Fleet *Fleet
}

// safety keeps the shares below the bound, because windows of instances and of endpoints do not coincide.
const safety = 0.8

// Retries is this instance's share of the retry budget of all services. It is safe for concurrent use.
type Retries struct {
	mu       sync.Mutex
	options  RetryOptions
	requests map[string]*Window
	repeats  map[string]*Window
}

// NewRetries returns a budget whose share begins empty: a restarted instance may have used up its share before.
func NewRetries(options RetryOptions) *Retries {
	return &Retries{options: options, requests: make(map[string]*Window), repeats: make(map[string]*Window)}
}

// Request counts a first attempt to send a request to the service.
func (r *Retries) Request(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window(r.requests, service).Add(now)
}

// Take counts a repeat and reports whether the share allows it.
func (r *Retries) Take(service string, now time.Time) bool {
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

func (r *Retries) window(windows map[string]*Window, service string) *Window {
	w := windows[service]
	if w == nil {
		w = NewWindow(r.options.Window)
		windows[service] = w
	}
	return w
}

package limit

import "time"

// endpointWindows counts events of each endpoint in sliding windows of one length.
type endpointWindows struct {
	length  time.Duration
	windows map[uint32]*Window
}

func newEndpointWindows(length time.Duration) endpointWindows {
	return endpointWindows{length: length, windows: make(map[uint32]*Window)}
}

func (e *endpointWindows) count(endpoint uint32, now time.Time) int {
	w := e.windows[endpoint]
	if w == nil {
		return 0
	}
	return w.Count(now)
}

func (e *endpointWindows) add(endpoint uint32, now time.Time) {
	w := e.windows[endpoint]
	if w == nil {
		w = NewWindow(e.length)
		e.windows[endpoint] = w
	}
	w.Add(now)
}

// forget deletes the endpoints without an event in their window.
func (e *endpointWindows) forget(now time.Time) {
	for endpoint, w := range e.windows {
		if w.Count(now) == 0 {
			delete(e.windows, endpoint)
		}
	}
}

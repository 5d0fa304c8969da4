// Package panics records panics that end only a part of the work of a process: a request, or the handling of a message.
package panics

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"

	"github.com/rs/zerolog"
)

const (
	// maxPlaces bounds the places whose stack is logged, and maxStackBytes and maxValueBytes the length of a line.
	maxPlaces     = 64
	maxStackBytes = 16 << 10
	maxValueBytes = 256
	// maxFrames bounds the frames that are searched for the place.
	maxFrames = 64
)

// Recorder counts panics and logs the stack of each place at which they begin once, because a request or a message that causes one
// may come again and again. It is safe for concurrent use.
type Recorder struct {
	log   zerolog.Logger
	count func()

	mu     sync.Mutex
	places map[string]bool
}

// NewRecorder returns a recorder. count is called for each panic.
func NewRecorder(log zerolog.Logger, count func()) *Recorder {
	return &Recorder{log: log, count: count, places: make(map[string]bool)}
}

// Record records a panic with the given value. It must be called from the deferred function that has recovered it. work names what
// the panic has ended.
func (r *Recorder) Record(work string, value any) {
	r.count()
	place := placeOf()
	if !r.isNew(place) {
		return
	}
	stack, text := debug.Stack(), fmt.Sprint(value)
	r.log.Error().Str("work", work).Str("place", place).Str("value", text[:min(len(text), maxValueBytes)]).
		Bytes("stack", stack[:min(len(stack), maxStackBytes)]).Msg("panic")
}

func (r *Recorder) isNew(place string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.places[place] || len(r.places) >= maxPlaces {
		return false
	}
	r.places[place] = true
	return true
}

// placeOf returns the function and the line at which the panic began: the first frame below those of the runtime.
func placeOf() string {
	callers := make([]uintptr, maxFrames)
	frames := runtime.CallersFrames(callers[:runtime.Callers(1, callers)])
	inPanic := false
	for {
		frame, more := frames.Next()
		isRuntime := strings.HasPrefix(frame.Function, "runtime.")
		if inPanic && !isRuntime {
			return frame.Function + ":" + strconv.Itoa(frame.Line)
		}
		inPanic = inPanic || frame.Function == "runtime.gopanic"
		if !more {
			return "unknown"
		}
	}
}

// Recover runs a function and records a panic in it. It reports whether the function has returned.
func (r *Recorder) Recover(work string, run func()) (returned bool) {
	defer func() {
		if value := recover(); value != nil {
			r.Record(work, value)
		}
	}()
	run()
	return true
}

package standin

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/acacialift/acacialift/internal/platform"
)

// servedState is the state that determines the responses of one listening address.
type servedState struct {
	value   publishedValue
	down    DownMode
	delay   time.Duration
	changed chan struct{}
}

func (p *Platform) currentState(address int, kind platform.Kind) servedState {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := servedState{down: p.down, delay: p.delay, changed: p.changed}
	values := p.values[kind]
	stale := p.staleRevisions[address][kind]
	for _, value := range values {
		if stale == 0 || value.revision == stale {
			state.value = value
		}
	}
	return state
}

func (p *Platform) valuesHandler(address int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		kind, ok := kindOf(r.URL.Path, "/v1/")
		if !ok || r.Method != http.MethodGet {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		after, errAfter := queryUint(r, "after")
		wait, errWait := queryUint(r, "wait")
		if errAfter != nil || errWait != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		p.countRead()
		p.serveValue(r.Context(), w, address, kind, after, min(time.Duration(min(wait, 3600))*time.Second, maxLongPoll))
	})
}

// serveValue responds when there is a value newer than the revision after, or when the wait has elapsed.
func (p *Platform) serveValue(ctx context.Context, w http.ResponseWriter, address int, kind platform.Kind, after uint64,
	wait time.Duration,
) {
	timer := p.options.Clock.NewTimer(wait)
	defer timer.Stop()
	state := p.currentState(address, kind)
	for waiting := wait > 0; waiting && state.down != DownError && state.value.revision <= after; {
		select {
		case <-ctx.Done():
			return
		case <-timer.Chan():
			waiting = false
		case <-state.changed:
		}
		state = p.currentState(address, kind)
	}
	for state.down == DownHang {
		select {
		case <-ctx.Done():
			return
		case <-state.changed:
		}
		state = p.currentState(address, kind)
	}
	if state.delay > 0 {
		select {
		case <-ctx.Done():
			return
		case <-p.options.Clock.After(state.delay):
		}
	}
	writeValue(w, state, after)
}

func writeValue(w http.ResponseWriter, state servedState, after uint64) {
	switch {
	case state.down == DownError:
		w.WriteHeader(http.StatusServiceUnavailable)
	case state.value.revision <= after:
		w.WriteHeader(http.StatusNotModified)
	default:
		w.Header().Set("Content-Type", "application/yaml")
		w.Header().Set("Content-Length", strconv.Itoa(len(state.value.data)))
		w.Header().Set(platform.RevisionHeader, strconv.FormatUint(state.value.revision, 10))
		_, _ = w.Write(state.value.data)
	}
}

func kindOf(path, prefix string) (platform.Kind, bool) {
	for _, kind := range []platform.Kind{platform.KindConfig, platform.KindInstances} {
		if path == prefix+string(kind) {
			return kind, true
		}
	}
	return "", false
}

// queryUint returns a query parameter, or 0 if it is missing.
func queryUint(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

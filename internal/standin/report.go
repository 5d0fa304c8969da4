package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/acacialift/acacialift/internal/config"
)

// reportSampleInterval is the resolution of the load report's lag.
const reportSampleInterval = 20 * time.Millisecond

// LoadReport is the response to GET /load.
type LoadReport struct {
	StartID      string         `json:"start_id"`
	AtMS         int64          `json:"at_ms"`
	MemoryTokens int64          `json:"memory_tokens"`
	UsedTokens   int64          `json:"used_tokens"`
	Streams      []StreamReport `json:"streams"`
	Fence        int64          `json:"fence"`
	Warm         bool           `json:"warm"`
}

// StreamReport describes a stream or an exported segment in a LoadReport.
type StreamReport struct {
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
	Phase  string `json:"phase"`
	AgeMS  int64  `json:"age_ms"`
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	if e.waitUntilResponsive(r.Context()) != nil {
		return
	}
	report := mustJSON(e.Report())
	w.Header().Set("Content-Type", "application/json")
	out := &responseWriter{engine: e, ctx: r.Context(), w: w}
	_ = out.write(report)
}

// Report returns the load report of one report lag ago.
func (e *Engine) Report() LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reportLag <= 0 || len(e.reportHistory) == 0 {
		return e.snapshot(time.Now())
	}
	return e.reportHistory[0]
}

// snapshot returns a report of the current state. The caller holds the mutex.
func (e *Engine) snapshot(now time.Time) LoadReport {
	report := LoadReport{
		StartID:      e.startID,
		AtMS:         now.UnixMilli(),
		MemoryTokens: e.options.MemoryTokens,
		UsedTokens:   e.usedTokens,
		Streams:      make([]StreamReport, 0, len(e.streams)),
		Fence:        e.fence,
		Warm:         !e.cold || e.faults.ClaimWarm,
	}
	for s := range e.streams {
		report.Streams = append(report.Streams, StreamReport{
			ID:     s.id,
			Tokens: s.reservedTokens,
			Phase:  s.phase,
			AgeMS:  now.Sub(s.admitted).Milliseconds(),
		})
	}
	return report
}

// runReports samples load reports and keeps those of the last report lag; the oldest one is the report to send.
func (e *Engine) runReports(ctx context.Context) {
	ticker := time.NewTicker(reportSampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.sampleReport(now)
		}
	}
}

func (e *Engine) sampleReport(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reportLag <= 0 {
		e.reportHistory = nil
		return
	}
	e.reportHistory = append(e.reportHistory, e.snapshot(now))
	oldest := now.Add(-e.reportLag).UnixMilli()
	for len(e.reportHistory) > 1 && e.reportHistory[1].AtMS <= oldest {
		e.reportHistory = e.reportHistory[1:]
	}
}

// The actions of an order.
const (
	ActionCancel    = "cancel"
	ActionRelease   = "release"
	ActionLoadModel = "load_model"
	ActionSetRole   = "set_role"
)

// Order is the body of POST /orders.
type Order struct {
	Fence  int64  `json:"fence"`
	Action string `json:"action"`
	ID     string `json:"id,omitempty"`
	Model  string `json:"model,omitempty"`
	Role   string `json:"role,omitempty"`
}

// OrderResponse is the response to an order.
type OrderResponse struct {
	// Done is false if no stream had the ID, for example when a cancel order is retried.
	Done bool `json:"done"`
	// Fence is the highest fencing number that the engine has seen.
	Fence int64  `json:"fence"`
	Code  string `json:"code,omitempty"`
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	if e.waitUntilResponsive(r.Context()) != nil {
		return
	}
	var order Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		refuse(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	highest, accepted := e.acceptFence(order.Fence)
	if !accepted {
		w.Header().Set(RefusedHeader, refusedNotRun)
		writeJSON(w, http.StatusConflict, OrderResponse{Fence: highest, Code: "stale_fence"})
		return
	}
	done, known := e.execute(order)
	if !known {
		refuse(w, http.StatusBadRequest, "unknown_action", "unknown action "+order.Action)
		return
	}
	writeJSON(w, http.StatusOK, OrderResponse{Done: done, Fence: highest})
}

// execute executes an order. done is true if the order had an effect, known if its action exists.
func (e *Engine) execute(order Order) (done, known bool) {
	e.mu.Lock()
	e.stats.Orders++
	e.mu.Unlock()
	switch order.Action {
	case ActionCancel:
		return e.cancelByID(order.ID, false), true
	case ActionRelease:
		return e.cancelByID(order.ID, true), true
	case ActionLoadModel:
		e.mu.Lock()
		defer e.mu.Unlock()
		e.model = order.Model
		return true, true
	case ActionSetRole:
		e.mu.Lock()
		defer e.mu.Unlock()
		e.role = order.Role
		return true, true
	default:
		return false, false
	}
}

// acceptFence returns the highest fencing number seen, and true if the given one is accepted.
func (e *Engine) acceptFence(fence int64) (int64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if fence < e.fence && e.options.Fencing == config.FencingEnforced {
		e.stats.StaleOrders++
		return e.fence, false
	}
	e.fence = max(e.fence, fence)
	return e.fence, true
}

// acceptFenceHeader checks the header X-Fence if it is present. If the number is invalid or stale, it sends the response
// and returns false.
func (e *Engine) acceptFenceHeader(w http.ResponseWriter, r *http.Request) bool {
	if r.Header.Get("X-Fence") == "" {
		return true
	}
	fence, err := intHeader(r.Header, "X-Fence", 0)
	if err != nil {
		refuse(w, http.StatusBadRequest, "bad_request", err.Error())
		return false
	}
	if _, accepted := e.acceptFence(fence); !accepted {
		refuse(w, http.StatusConflict, "stale_fence", "the engine has seen a higher fencing number")
		return false
	}
	return true
}

package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// Faults are the faults that an engine shows until they are changed.
type Faults struct {
	// Silent stops every byte to callers; requests still run.
	Silent bool `json:"silent"`
	// SlowBytes sends answers at one byte per second.
	SlowBytes bool `json:"slow_bytes"`
	// ClaimWarm lets the load report say warm during a cold start.
	ClaimWarm bool `json:"claim_warm"`
	// DropIn closes the connection of each request that is in this phase ("prefill" or "decode").
	DropIn string `json:"drop_in"`
	// DieIn drops all streams and restarts the engine once, when a request is in this phase ("prefill" or "decode").
	DieIn string `json:"die_in"`
}

// Control is the body of POST /standin/control. Faults replace the earlier ones; the other fields act if they are set.
type Control struct {
	Faults
	// Cold begins a cold start without a new start identity.
	Cold bool `json:"cold"`
	// Die drops all streams and restarts the engine at once.
	Die bool `json:"die"`
	// ReportLagMS changes the age of the load report.
	ReportLagMS *int64 `json:"report_lag_ms"`
}

// Control applies faults and state changes.
func (e *Engine) Control(c Control) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Silent && !c.Silent {
		close(e.unsilenced)
		e.unsilenced = make(chan struct{})
	}
	e.faults = c.Faults
	if c.ReportLagMS != nil {
		e.reportLag = time.Duration(*c.ReportLagMS) * time.Millisecond
	}
	if c.Cold {
		e.turnCold()
	}
	if c.Die {
		e.stats.Deaths++
		e.fall()
	}
}

// applyPhaseFault drops a stream or the whole engine if a fault is set for the stream's phase. The caller holds the
// mutex.
func (e *Engine) applyPhaseFault(s *stream) bool {
	if e.faults.DieIn == s.phase {
		e.faults.DieIn = ""
		e.stats.Deaths++
		e.fall()
		return true
	}
	if e.faults.DropIn == s.phase {
		s.cancel(errDropped)
		e.free(s)
		return true
	}
	return false
}

func (e *Engine) decodeFault(s *stream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.applyPhaseFault(s)
}

func (e *Engine) sendsSlowly() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.SlowBytes
}

// waitWhileSilent blocks while the engine is silent; it fails if the context ends first.
func (e *Engine) waitWhileSilent(ctx context.Context) error {
	for {
		e.mu.Lock()
		silent, unsilenced := e.faults.Silent, e.unsilenced
		e.mu.Unlock()
		if !silent {
			return nil
		}
		select {
		case <-unsilenced:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

func (e *Engine) serveControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	e.Control(c)
	writeJSON(w, http.StatusOK, e.Stats())
}

// serveStats leaves out the executions for a query "brief", because they grow with every request.
func (e *Engine) serveStats(w http.ResponseWriter, r *http.Request) {
	stats := e.Stats()
	if r.URL.Query().Has("brief") {
		stats.Executions = nil
	}
	writeJSON(w, http.StatusOK, stats)
}

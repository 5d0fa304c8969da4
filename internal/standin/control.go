package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// Faults are the injected faults of an engine. They stay in effect until the next Control.
type Faults struct {
	// Unresponsive holds back all response bytes; requests are still executed.
	Unresponsive bool `json:"silent"`
	// SlowBytes sends responses at one byte per second.
	SlowBytes bool `json:"slow_bytes"`
	// ClaimWarm makes the load report claim that the engine is warm during a cold start.
	ClaimWarm bool `json:"claim_warm"`
	// DropIn is the phase ("prefill" or "decode") in which the connection of each request is closed.
	DropIn string `json:"drop_in"`
	// CrashIn is the phase ("prefill" or "decode") of a request in which the engine crashes once: it drops all streams and
	// restarts.
	CrashIn string `json:"die_in"`
}

// Control is the body of POST /standin/control. Faults replaces all earlier faults; the other fields have an effect only
// if they are set.
type Control struct {
	Faults
	// Cold begins a cold start and keeps the start ID.
	Cold bool `json:"cold"`
	// Crash crashes the engine immediately: it drops all streams and restarts.
	Crash bool `json:"die"`
	// ReportLagMS sets the age of the load report.
	ReportLagMS *int64 `json:"report_lag_ms"`
}

// Control applies faults and state changes.
func (e *Engine) Control(c Control) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Unresponsive && !c.Unresponsive {
		close(e.responsive)
		e.responsive = make(chan struct{})
	}
	e.faults = c.Faults
	if c.ReportLagMS != nil {
		e.reportLag = time.Duration(*c.ReportLagMS) * time.Millisecond
	}
	if c.Cold {
		e.beginColdStart()
	}
	if c.Crash {
		e.stats.InjectedCrashes++
		e.crash()
	}
}

// applyPhaseFault drops the stream or crashes the engine if a fault is set for the stream's phase, and returns true if it
// did. The caller holds the mutex.
func (e *Engine) applyPhaseFault(s *stream) bool {
	if e.faults.CrashIn == s.phase {
		e.faults.CrashIn = ""
		e.stats.InjectedCrashes++
		e.crash()
		return true
	}
	if e.faults.DropIn == s.phase {
		s.cancel(errDropped)
		e.free(s)
		return true
	}
	return false
}

func (e *Engine) applyDecodeFault(s *stream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.applyPhaseFault(s)
}

func (e *Engine) sendsSlowly() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.SlowBytes
}

// waitUntilResponsive blocks while the fault Unresponsive is set. It fails if the context ends first.
func (e *Engine) waitUntilResponsive(ctx context.Context) error {
	for {
		e.mu.Lock()
		unresponsive, responsive := e.faults.Unresponsive, e.responsive
		e.mu.Unlock()
		if !unresponsive {
			return nil
		}
		select {
		case <-responsive:
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

// serveStats omits the executions if the query has "brief", because their number grows with every request.
func (e *Engine) serveStats(w http.ResponseWriter, r *http.Request) {
	stats := e.Stats()
	if r.URL.Query().Has("brief") {
		stats.Executions = nil
	}
	writeJSON(w, http.StatusOK, stats)
}

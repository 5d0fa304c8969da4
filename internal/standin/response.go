package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"
)

// slowByteInterval is the time between two bytes of an engine with the fault SlowBytes.
const slowByteInterval = time.Second

// responseWriter sends the parts of a response and applies the engine's current faults to them.
type responseWriter struct {
	engine  *Engine
	ctx     context.Context
	w       http.ResponseWriter
	started bool
}

// write sends data and flushes it. It fails if the stream's context has ended.
func (r *responseWriter) write(data []byte) error {
	if err := r.engine.waitUntilResponsive(r.ctx); err != nil {
		return err
	}
	if !r.engine.sendsSlowly() {
		return r.send(data)
	}
	for i := range data {
		if err := r.send(data[i : i+1]); err != nil {
			return err
		}
		if sleepUntil(r.ctx, time.Now().Add(slowByteInterval)) != nil {
			return context.Cause(r.ctx)
		}
	}
	return nil
}

func (r *responseWriter) send(data []byte) error {
	if r.ctx.Err() != nil {
		return context.Cause(r.ctx)
	}
	r.started = true
	if _, err := r.w.Write(data); err != nil {
		return err
	}
	if flusher, ok := r.w.(http.Flusher); ok {
		flusher.Flush()
	}
	return nil
}

// fail sends an error response, or drops the connection. The caller cannot mistake the response for a complete one.
func (r *responseWriter) fail(err error) {
	if errors.Is(err, errCancelledByOrder) && !r.started {
		writeError(r.w, http.StatusInternalServerError, "cancelled", err.Error())
		return
	}
	var importFailure *importError
	if errors.As(err, &importFailure) {
		writeError(r.w, http.StatusBadGateway, "import_failed", err.Error())
		return
	}
	dropConnection(r.w)
}

type errorBody struct {
	Error errorContent `json:"error"`
}

type errorContent struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// refuse rejects a request that the engine has not started and will not start.
func refuse(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set(RefusedHeader, refusedNotRun)
	writeError(w, status, code, message)
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, errorBody{Error: errorContent{Code: code, Message: message}})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body := mustJSON(value)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// mustJSON encodes a value of one of this package's types; encoding these cannot fail.
func mustJSON(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}

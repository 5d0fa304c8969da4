package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"
)

// slowByteInterval is the pace of an engine that sends one byte a second.
const slowByteInterval = time.Second

// answerWriter sends the parts of an answer under the engine's current faults.
type answerWriter struct {
	engine  *Engine
	ctx     context.Context
	w       http.ResponseWriter
	started bool
}

// write sends data at once; it fails if the stream ended meanwhile.
func (a *answerWriter) write(data []byte) error {
	if err := a.engine.waitWhileSilent(a.ctx); err != nil {
		return err
	}
	if !a.engine.sendsSlowly() {
		return a.send(data)
	}
	for i := range data {
		if err := a.send(data[i : i+1]); err != nil {
			return err
		}
		if sleepUntil(a.ctx, time.Now().Add(slowByteInterval)) != nil {
			return context.Cause(a.ctx)
		}
	}
	return nil
}

func (a *answerWriter) send(data []byte) error {
	if a.ctx.Err() != nil {
		return context.Cause(a.ctx)
	}
	a.started = true
	if _, err := a.w.Write(data); err != nil {
		return err
	}
	if flusher, ok := a.w.(http.Flusher); ok {
		flusher.Flush()
	}
	return nil
}

// fail ends the answer so that it cannot be taken for a whole one.
func (a *answerWriter) fail(err error) {
	if errors.Is(err, errCancelledByOrder) && !a.started {
		writeError(a.w, http.StatusInternalServerError, "cancelled", err.Error())
		return
	}
	var importFailure *importError
	if errors.As(err, &importFailure) {
		writeError(a.w, http.StatusBadGateway, "import_failed", err.Error())
		return
	}
	dropConnection(a.w)
}

type errorBody struct {
	Error errorContent `json:"error"`
}

type errorContent struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// refuse answers a request that the engine did not start and never will.
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

// mustJSON encodes values of this package's types, which cannot fail.
func mustJSON(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}

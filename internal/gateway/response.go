package gateway

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/httpserver"
	"github.com/acacialift/acacialift/internal/outcome"
)

// finalResponseTimeout bounds the write of the gateway's own final response to a caller.
const finalResponseTimeout = time.Second

// Codes of final responses that are used in more than one place.
const (
	codeDeadline     = "deadline_exceeded"
	codeCallerLeft   = "caller_left"
	codeEndpointLost = "endpoint_lost"
)

func (x *exchange) unknownOutcome(code, message string) *outcome.Error {
	return &outcome.Error{
		Outcome: outcome.Unknown, Stage: x.stage, Code: code, Status: http.StatusGatewayTimeout,
		Message: message, RetrySafe: x.idempotent(),
	}
}

// respond sends the gateway's final response, and counts and logs it.
func (x *exchange) respond(final *outcome.Error) {
	final.RequestID = x.id.String()
	x.gateway.stats.countResponse(final)
	x.writeFinal(final)
	logFinalResponse(x.log.Info(), final, time.Since(x.started))
}

// recordRefusal counts and logs a request that the HTTP server refused before the handler ran.
func (g *Gateway) recordRefusal(refusal *outcome.Error) {
	refusal.RequestID = g.nextRequestID().String()
	g.stats.requests.Add(1)
	g.stats.countResponse(refusal)
	logFinalResponse(g.log.Info().Str("request_id", refusal.RequestID), refusal, 0)
}

func logFinalResponse(event *zerolog.Event, final *outcome.Error, elapsed time.Duration) {
	event.Str("outcome", string(final.Outcome)).Str("stage", string(final.Stage)).Str("code", final.Code).
		Bool("repeat_safe", final.RetrySafe).Dur("retry_after_ms", final.RetryAfter).Int("status", final.Status).
		Dur("elapsed_ms", elapsed).Msg("answer")
}

// writeFinal writes the final response. If the caller does not read it within finalResponseTimeout, the connection is
// reset, because a blocked write would keep the request open.
func (x *exchange) writeFinal(final *outcome.Error) {
	timer := time.AfterFunc(finalResponseTimeout, func() { httpserver.Abort(x.w) })
	defer timer.Stop()
	switch {
	case x.headSent && !x.betweenEvents():
		// An error event inside another event would be parsed as a part of that event.
		httpserver.Abort(x.w)
		return
	case x.headSent:
		x.endStream(final)
		return
	}
	final.WriteTo(x.w)
	flush(x.w)
}

// betweenEvents reports whether the data sent to the caller so far ends with a complete event.
func (x *exchange) betweenEvents() bool {
	return bytes.HasSuffix(x.sentTail, []byte("\n\n")) || bytes.HasSuffix(x.sentTail, []byte("\r\n\r\n"))
}

// endStream ends a truncated stream with an error event and without the terminal event.
func (x *exchange) endStream(final *outcome.Error) {
	_, _ = x.w.Write([]byte("event: error\ndata: "))
	_, _ = x.w.Write(final.JSON())
	_, _ = x.w.Write([]byte("\n\n"))
	flush(x.w)
}

// logAnswered logs a complete response of the endpoint. For a model it also records the first-token latency, and that the
// endpoint has the prompt's prefix in its cache. err is set if the caller did not receive the whole response.
func (x *exchange) logAnswered(endpoint string, receiver *responseReceiver, err error) {
	code := "whole"
	switch {
	case err != nil && errors.Is(receiver.ctx.Err(), context.DeadlineExceeded):
		code = codeDeadline
	case err != nil:
		code = codeCallerLeft
	}
	if x.service.Kind == config.KindModel && !x.firstTokenAt.IsZero() {
		x.gateway.router.notePrefix(x.req.PrefixHash, endpoint, x.req.PromptTokens)
		x.gateway.stats.recordFirstToken(x.class, x.firstTokenAt.Sub(x.started))
	}
	x.log.Info().Str("outcome", "answered").Str("stage", string(x.stage)).Str("code", code).
		Str("endpoint", endpoint).Int("status", receiver.status).
		Int64("body_bytes", receiver.bodyBytes).Dur("first_token_ms", receiver.firstTokenLatency()).
		Dur("elapsed_ms", time.Since(x.started)).Msg("answer")
}

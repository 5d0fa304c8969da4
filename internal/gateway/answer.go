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

// finalAnswerLimit bounds the time in which a caller must take the gateway's own final answer.
const finalAnswerLimit = time.Second

// The codes of final answers that more than one place gives.
const (
	codeDeadline     = "deadline_exceeded"
	codeCallerLeft   = "caller_left"
	codeEndpointLost = "endpoint_lost"
)

func (x *exchange) unknown(code, message string) *outcome.Error {
	return &outcome.Error{
		Outcome: outcome.Unknown, Stage: x.stage, Code: code, Status: http.StatusGatewayTimeout,
		Message: message, RetrySafe: x.idempotent(),
	}
}

// answer sends the final answer and logs it.
func (x *exchange) answer(final *outcome.Error) {
	final.RequestID = x.id.String()
	x.gateway.stats.countAnswer(final)
	x.send(final)
	logFinal(x.log.Info(), final, time.Since(x.started))
}

// noteRefusal counts and logs the refusal of a request that could not be received.
func (g *Gateway) noteRefusal(refusal *outcome.Error) {
	refusal.RequestID = g.nextRequestID().String()
	g.stats.requests.Add(1)
	g.stats.countAnswer(refusal)
	logFinal(g.log.Info().Str("request_id", refusal.RequestID), refusal, 0)
}

func logFinal(event *zerolog.Event, final *outcome.Error, elapsed time.Duration) {
	event.Str("outcome", string(final.Outcome)).Str("stage", string(final.Stage)).Str("code", final.Code).
		Bool("repeat_safe", final.RetrySafe).Dur("retry_after_ms", final.RetryAfter).Int("status", final.Status).
		Dur("elapsed_ms", elapsed).Msg("answer")
}

// send writes the final answer. A caller that does not read gets a reset instead, so that the request ends in its time.
func (x *exchange) send(final *outcome.Error) {
	timer := time.AfterFunc(finalAnswerLimit, func() { httpserver.Abort(x.w) })
	defer timer.Stop()
	switch {
	case x.headSent && !x.betweenEvents():
		// An error event inside another event would be read as a part of it.
		httpserver.Abort(x.w)
		return
	case x.headSent:
		x.endStream(final)
		return
	}
	final.WriteTo(x.w)
	flush(x.w)
}

// betweenEvents tells whether what went to the caller ends with a whole event.
func (x *exchange) betweenEvents() bool {
	return bytes.HasSuffix(x.sentEnd, []byte("\n\n")) || bytes.HasSuffix(x.sentEnd, []byte("\r\n\r\n"))
}

// endStream ends a stream that was cut with an error event and without the terminal event.
func (x *exchange) endStream(final *outcome.Error) {
	_, _ = x.w.Write([]byte("event: error\ndata: "))
	_, _ = x.w.Write(final.JSON())
	_, _ = x.w.Write([]byte("\n\n"))
	flush(x.w)
}

// logAnswered logs an answer of the endpoint itself. err is set if the caller did not take the whole answer.
func (x *exchange) logAnswered(endpoint string, receiver *answerReceiver, err error) {
	code := "whole"
	switch {
	case err != nil && errors.Is(receiver.ctx.Err(), context.DeadlineExceeded):
		code = codeDeadline
	case err != nil:
		code = codeCallerLeft
	}
	if x.service.Kind == config.KindModel && !x.firstToken.IsZero() {
		x.gateway.router.notePrefix(x.req.PrefixHash, endpoint, x.req.PromptTokens)
		x.gateway.stats.recordFirstToken(x.class, x.firstToken.Sub(x.started))
	}
	x.log.Info().Str("outcome", "answered").Str("stage", string(x.stage)).Str("code", code).
		Str("endpoint", endpoint).Int("status", receiver.status).
		Int64("body_bytes", receiver.bodyBytes).Dur("first_token_ms", receiver.firstTokenAfter()).
		Dur("elapsed_ms", time.Since(x.started)).Msg("answer")
}

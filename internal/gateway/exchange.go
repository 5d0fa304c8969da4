package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/acacialift/acacialift/internal/callers"
	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/httpserver"
	"github.com/acacialift/acacialift/internal/outcome"
	"github.com/acacialift/acacialift/internal/peer"
)

const (
	// defaultOutputTokens is reserved if neither the caller nor the profile bounds the output.
	defaultOutputTokens = 1024
	// noViewRetry is the advised delay while the gateway has no current view.
	noViewRetry = 2 * time.Second
	// leavingRetry is the advised delay while the instance is leaving; the balancer selects another one.
	leavingRetry = time.Second
)

// exchange is one caller's request from admission to its final answer.
type exchange struct {
	gateway *Gateway
	w       http.ResponseWriter
	log     zerolog.Logger
	id      peer.RequestID
	started time.Time

	req     *callers.Request
	view    *view
	profile *config.Profile
	service *config.Service
	class   peer.LengthClass
	budget  time.Duration
	refused *refusals
	// asks counts the credit asks; the part of a hand-over's id derives from it.
	asks int
	// answerStatus is the HTTP status of the endpoint's own answer.
	answerStatus int
	// firstToken is the time of the first part of the answer's body; zero before.
	firstToken time.Time
	// headSent is true once a byte of the answer went to the caller.
	headSent bool
	// stage is the last stage reached.
	stage outcome.Stage
	// bytesSent is true once a byte was handed to an endpoint in an attempt whose result is not known to be "not run".
	bytesSent bool
}

func (g *Gateway) serveHTTP(w http.ResponseWriter, r *http.Request) {
	g.stats.requests.Add(1)
	g.stats.open.Add(1)
	defer g.stats.open.Add(-1)
	x := &exchange{gateway: g, w: w, id: g.nextRequestID(), started: time.Now(), stage: outcome.StageAdmission, refused: newRefusals()}
	x.log = g.log.With().Str("request_id", x.id.String()).Logger()
	if final := x.run(r); final != nil {
		x.answer(final)
	}
}

// run serves the request; it returns the final answer if the endpoint's own was not passed on.
func (x *exchange) run(r *http.Request) *outcome.Error {
	if refused := x.admit(r); refused != nil {
		return refused
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.started.Add(x.budget))
	defer cancel()
	if x.idempotent() || x.req.Key == "" {
		return x.serve(ctx)
	}
	return x.serveKeyed(ctx)
}

// admit checks the request against the view that it keeps until its end.
func (x *exchange) admit(r *http.Request) *outcome.Error {
	whole, ok := r.Body.(*httpserver.Body)
	if !ok {
		return badRequest("unreadable_body", "the body could not be read")
	}
	body := whole.Bytes()
	req, refused := callers.Parse(r, body)
	if refused != nil {
		return refused
	}
	x.req = req
	if x.gateway.refusing.Load() {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StageAdmission, "leaving",
			"this instance is leaving", leavingRetry)
	}
	x.view = x.gateway.views.current.Load()
	if x.view == nil || x.view.index == nil || !x.view.fresh(x.started) {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StageAdmission, "no_current_view",
			"this instance does not know the current configuration", noViewRetry)
	}
	if refused := x.resolveProfile(); refused != nil {
		return refused
	}
	return x.setBudget()
}

func (x *exchange) resolveProfile() *outcome.Error {
	index := x.view.index
	if index.Team(x.req.Team) == nil {
		return badRequest("unknown_team", "the team is not in the configuration")
	}
	x.profile = index.Profile(x.req.Profile)
	if x.profile == nil {
		return badRequest("unknown_profile", "the serving profile is not in the configuration")
	}
	x.service = index.Service(x.profile.Service)
	if (x.service.Kind == config.KindPlain) != (x.req.Kind == callers.KindService) {
		return badRequest("wrong_profile", "the serving profile is for another kind of service")
	}
	if x.req.Kind == callers.KindService && x.req.ServiceName != x.service.Name {
		return badRequest("wrong_profile", "the serving profile is for another service")
	}
	if x.req.MaxTokens == 0 {
		x.req.MaxTokens = x.profile.MaxOutputTokens
	}
	if x.req.MaxTokens == 0 {
		x.req.MaxTokens = defaultOutputTokens
	}
	x.class = peer.ClassOf(x.req.PromptTokens)
	return nil
}

func (x *exchange) setBudget() *outcome.Error {
	x.budget = x.req.Budget
	if x.budget == 0 {
		x.budget = x.profile.DefaultBudget.Std()
	}
	if x.budget > x.profile.MaxBudget.Std() {
		return badRequest("budget_too_large", "the time budget is above the serving profile's maximum")
	}
	return nil
}

func badRequest(code, message string) *outcome.Error {
	return outcome.Refusal(http.StatusBadRequest, outcome.StageAdmission, code, message, 0)
}

// idempotent tells whether the request may run more than once.
func (x *exchange) idempotent() bool {
	if x.req.Kind != callers.KindService || x.profile.Idempotent {
		return true
	}
	switch x.req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// serve reserves capacity and hands the request over until an answer is complete or the outcome is decided.
func (x *exchange) serve(ctx context.Context) *outcome.Error {
	x.stage = outcome.StageCreditWait
	if x.gateway.settings.Uncontrolled && x.service.Kind == config.KindModel {
		return x.serveUncontrolled(ctx)
	}
	for {
		granted, refused := x.reserve(ctx)
		if refused != nil {
			return refused
		}
		final, again := x.handOver(ctx, granted)
		if !again {
			return final
		}
	}
}

// giveUp ends a request for which no credit was granted. A hand-over that came before decides the outcome.
func (x *exchange) giveUp(reason string) *outcome.Error {
	if x.bytesSent {
		return x.unknown("retry_without_capacity", "an earlier attempt may have run and no endpoint could take another one")
	}
	return outcome.Refusal(http.StatusServiceUnavailable, outcome.StageCreditWait, reason,
		"no endpoint could take the request within its time budget", time.Second)
}

var (
	errCreditExpired  = errors.New("credit expired before the hand-over")
	errRefused        = errors.New("endpoint refused the request")
	errCallerLeft     = errors.New("caller left")
	errIncompleteBody = errors.New("answer ended without its terminal event")
	errAnswerTooLarge = errors.New("answer is larger than the gateway buffers")
)

// handOver sends the request to the granted endpoint. again is true if another endpoint may be tried.
func (x *exchange) handOver(ctx context.Context, granted *credited) (final *outcome.Error, again bool) {
	x.stage = outcome.StageConnect
	endpoint := granted.endpoint
	receiver := &answerReceiver{x: x, granted: granted, sent: time.Now()}
	beforeWrite := func() error {
		if !granted.usable(time.Now()) {
			return errCreditExpired
		}
		x.stage = outcome.StagePrefill
		receiver.sent = time.Now()
		x.gateway.held.progress(granted, peer.ReportStarted, 0)
		return nil
	}
	err := x.gateway.engines.Do(ctx, x.engineRequest(endpoint, granted), beforeWrite, receiver)
	if err == nil {
		err = receiver.complete()
	}
	x.reportEnd(granted, receiver, err)
	if err == nil {
		x.answerStatus = receiver.status
		x.logAnswered(endpoint.Name, receiver)
		return nil, false
	}
	return x.judge(ctx, endpoint.Name, receiver, err)
}

func (x *exchange) engineRequest(endpoint *config.Endpoint, granted *credited) engine.Request {
	header := make(http.Header)
	header.Set("X-Request-Id", granted.ask.RequestID)
	header.Set("Content-Type", "application/json")
	if x.req.Key != "" {
		header.Set("Idempotency-Key", x.req.Key)
	}
	req := engine.Request{
		Method: x.req.Method, Address: endpoint.Address, Header: header, Body: x.req.Body, Target: x.req.ServicePath,
	}
	if x.service.Kind == config.KindModel {
		req.Target = "/v1/completions"
		if x.req.Kind == callers.KindChat {
			req.Target = "/v1/chat/completions"
		}
		header.Set("X-Priority", priority(x.class))
	}
	return req
}

// priority puts short prompts first; the engine ages waiting ones.
func priority(class peer.LengthClass) string {
	switch class {
	case peer.ClassShort:
		return "2"
	case peer.ClassMedium:
		return "1"
	default:
		return "0"
	}
}

func (x *exchange) reportEnd(granted *credited, receiver *answerReceiver, err error) {
	state := peer.ReportDone
	var failure *engine.Error
	switch {
	case err == nil && receiver.status < http.StatusInternalServerError:
	case errors.As(err, &failure) && !failure.BytesSent:
		state = peer.ReportUnused
	default:
		state = peer.ReportFailed
	}
	x.gateway.held.progress(granted, state, receiver.firstTokenAfter())
}

// judge decides what a failed hand-over means for the request.
func (x *exchange) judge(
	ctx context.Context, endpoint string, receiver *answerReceiver, err error,
) (final *outcome.Error, again bool) {
	var failure *engine.Error
	sent := !errors.As(err, &failure) || failure.BytesSent
	notRun := !sent || errors.Is(err, errRefused)
	if !notRun {
		x.bytesSent = true
	}
	mayRepeat := !x.headSent && ctx.Err() == nil && (notRun || x.idempotent())
	x.log.Warn().Str("endpoint", endpoint).Str("stage", string(x.stage)).Bool("bytes_sent", sent).
		Bool("not_run", notRun).Bool("retry", mayRepeat).Err(err).Msg("hand_over_failed")
	if mayRepeat {
		x.stage = outcome.StageCreditWait
		return nil, true
	}
	return x.finalAnswer(ctx, receiver, notRun), false
}

func (x *exchange) finalAnswer(ctx context.Context, receiver *answerReceiver, notRun bool) *outcome.Error {
	switch {
	case notRun && !x.bytesSent:
		return outcome.Refusal(http.StatusServiceUnavailable, x.stage, "endpoint_unavailable",
			"no endpoint started the request", time.Second)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return x.unknown("deadline_exceeded", "the time budget ended before the answer was complete")
	case receiver.endedByEndpoint:
		return &outcome.Error{
			Outcome: outcome.Failed, Stage: x.stage, Code: "endpoint_failed", Status: http.StatusBadGateway,
			Message: "the endpoint ended the request with an error", RepeatSafe: x.idempotent(),
		}
	default:
		return x.unknown("endpoint_lost", "the connection to the endpoint broke before the answer was complete")
	}
}

func (x *exchange) unknown(code, message string) *outcome.Error {
	return &outcome.Error{
		Outcome: outcome.Unknown, Stage: x.stage, Code: code, Status: http.StatusGatewayTimeout,
		Message: message, RepeatSafe: x.idempotent(),
	}
}

// answer sends the final answer and logs it.
func (x *exchange) answer(final *outcome.Error) {
	final.RequestID = x.id.String()
	x.gateway.stats.countAnswer(final)
	if x.headSent {
		x.endStream(final)
	} else {
		final.WriteTo(x.w)
	}
	x.log.Info().Str("outcome", string(final.Outcome)).Str("stage", string(final.Stage)).Str("code", final.Code).
		Bool("repeat_safe", final.RepeatSafe).Dur("retry_after_ms", final.RetryAfter).Int("status", final.Status).
		Dur("elapsed_ms", time.Since(x.started)).Msg("answer")
}

// endStream ends a stream that was cut with an error event and without the terminal event.
func (x *exchange) endStream(final *outcome.Error) {
	_, _ = x.w.Write([]byte("event: error\ndata: "))
	_, _ = x.w.Write(final.JSON())
	_, _ = x.w.Write([]byte("\n\n"))
	flush(x.w)
}

func (x *exchange) logAnswered(endpoint string, receiver *answerReceiver) {
	if x.service.Kind == config.KindModel && !x.firstToken.IsZero() {
		x.gateway.router.notePrefix(x.req.PrefixHash, endpoint, x.req.PromptTokens)
		x.gateway.stats.recordFirstToken(x.class, x.firstToken.Sub(x.started))
	}
	x.log.Info().Str("outcome", "answered").Str("endpoint", endpoint).Int("status", receiver.status).
		Int64("body_bytes", receiver.bodyBytes).Dur("first_token_ms", receiver.firstTokenAfter()).
		Dur("elapsed_ms", time.Since(x.started)).Msg("answer")
}

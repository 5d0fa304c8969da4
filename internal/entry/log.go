package entry

import (
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/quarantine"
)

// logPlaced logs the chosen endpoints and the values that the choice depended on.
func (x *exchange) logPlaced(p *attemptPlacement) {
	choice := p.Choice
	line := x.handler.options.Log.Info().
		Str("request_id", x.call.ID).
		Str("profile", x.profile.Name).
		Str("team", x.team.Name).
		Int64("catalog", x.catalog.Version).
		Str("endpoint", choice.Primary.ID).
		Int("helpers", len(choice.Helpers)).
		Str("helper_ids", idsOf(choice.Helpers)).
		Int64("prompt_tokens", x.call.PromptTokens).
		Str("parts", loggedParts(x.call.Prompt.Shared)).
		Str("own_part", x.call.Prompt.Own.String()).
		Dur("predicted_ms", choice.Predicted).
		Dur("budget_ms", x.call.Budget).
		Dur("time_limit_ms", x.profile.TimeLimit).
		Int("attempt", x.sent+1).
		Str("after_event", x.events.lastID).
		Dur("waited_ms", time.Since(x.received)).
		Str("scheduler", p.schedulerName).
		Dur("ask_ms", p.schedulerLatency)
	line = x.queueFields(x.confirmationFields(line))
	if rate, age, limited := x.handler.options.RateLimiter.Rate(choice.Primary.Key(), time.Now()); limited {
		x.handler.options.Metrics.PlacedOnLimited()
		line = line.Float64("max_rate", rate).Dur("max_rate_age_ms", age)
	}
	line.Msg("request_placed")
}

// confirmationFields adds which evidence has shown that the caller's key is valid, and how old it was at the admission.
func (x *exchange) confirmationFields(line *zerolog.Event) *zerolog.Event {
	return line.Dur("catalog_age_ms", x.catalogAge).Str("confirmed_by", string(x.confirmed.By)).Int64("confirmed_era", x.confirmed.Era)
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// loggedParts returns the first parts of a prompt for the log.
func loggedParts(parts []quarantine.Part) string {
	return quarantine.Join(parts[:min(len(parts), maxLoggedParts)])
}

// idsOf joins the ids of endpoints.
func idsOf(endpoints []*fleet.Endpoint) string {
	ids := make([]string, len(endpoints))
	for i, e := range endpoints {
		ids[i] = e.ID
	}
	return strings.Join(ids, ",")
}

// logUnplaced logs why no endpoint was chosen.
func (x *exchange) logUnplaced(refusal *placement.Refusal) {
	line := x.queueFields(x.handler.options.Log.Info()).
		Str("request_id", x.call.ID).
		Str("profile", x.profile.Name).
		Str("reason", string(refusal.Reason)).
		Int64("prompt_tokens", x.call.PromptTokens).
		Dur("objective_ms", x.objectiveLeft(time.Now())).
		Dur("predicted_ms", refusal.Predicted).
		Dur("retry_after_ms", refusal.RetryAfter).
		Dur("waited_ms", time.Since(x.received)).
		Int("endpoints", refusal.Candidates).
		Int("full", len(x.handler.options.RateLimiter.Full(time.Now()))).
		Str("scheduler", x.refusingScheduler).
		Float64("number", x.randomRank).
		Float64("unseen", x.unseen(time.Now())).
		Dur("counts_age_ms", x.handler.options.CountsAge(time.Now()))
	if x.returns.schedule != nil {
		line = line.Dur("told_ms", refusal.RetryAfter).Bool("returning", x.returns.returning)
	}
	line.Msg("request_not_placed")
}

// logAttemptFailed logs a failed attempt and whether it is retried. suspect is the part of the prompt that forbids it; zero if
// there is none.
func (x *exchange) logAttemptFailed(e *fleet.Endpoint, reason string, allowed bool, suspect quarantine.Part) {
	line := x.handler.options.Log.Info().
		Str("request_id", x.call.ID).
		Str("endpoint", e.ID).
		Str("reason", reason).
		Int("attempts", x.sent).
		Int("attempt_events", x.attemptEvents()).
		Str("framing", x.framing()).
		Str("last_event", x.events.lastID).
		Int("max_attempts", x.profile.MaxAttempts).
		Bool("repeat", allowed)
	if suspect != 0 {
		line = line.Str("suspect_part", suspect.String())
	}
	line.Msg("attempt_failed")
}

// logUnreached logs that an attempt has ended before a byte was sent to the endpoint, and how long after its start.
func (x *exchange) logUnreached(e *fleet.Endpoint, took time.Duration, err error) {
	x.handler.options.Log.Info().
		Str("request_id", x.call.ID).
		Str("endpoint", e.ID).
		Str("address", e.Address).
		Dur("took_ms", took).
		Err(err).
		Msg("endpoint_unreached")
}

// logSuspect logs that an endpoint has become suspect.
func (x *exchange) logSuspect(e *fleet.Endpoint, reason string) {
	x.handler.options.Log.Warn().
		Str("request_id", x.call.ID).
		Str("endpoint", e.ID).
		Str("reason", reason).
		Msg("endpoint_suspected")
}

// logCrash logs that an endpoint has crashed before its response to the request was established. responding is true if the head of the
// response had arrived, and events is the number of its events that had.
func (x *exchange) logCrash(e *fleet.Endpoint, responding bool, events int) {
	x.handler.options.Log.Warn().
		Str("request_id", x.call.ID).
		Str("endpoint", e.ID).
		Bool("responding", responding).
		Int("events", events).
		Str("team", x.team.Name).
		Str("parts", loggedParts(x.call.Prompt.Shared)).
		Str("own_part", x.call.Prompt.Own.String()).
		Msg("endpoint_crashed")
}

// logQuarantine logs and counts parts whose quarantine has begun or ended because of what this request has shown.
func (x *exchange) logQuarantine(changes []quarantine.Change) {
	for _, c := range changes {
		if c.Quarantined {
			x.handler.options.Metrics.PartQuarantined()
		}
		c.Log(x.handler.options.Log.Warn().Str("request_id", x.call.ID), x.handler.options.State.EndpointID)
	}
}

// framing names what ends the latest response, for the log; it is empty if there is none.
func (x *exchange) framing() string {
	if len(x.relays) == 0 {
		return ""
	}
	return x.relays[len(x.relays)-1].framing()
}

// logResponseEnd logs and counts a response that only the end of its connection has ended, and what the check of that end has found.
func (x *exchange) logResponseEnd(e *fleet.Endpoint, r *relay, finding EndpointFinding, took time.Duration) {
	x.handler.options.Metrics.ResponseEndedByConnection(finding.isAlive())
	x.handler.options.Log.Info().
		Str("request_id", x.call.ID).
		Str("endpoint", e.ID).
		Int("status", r.status).
		Int("attempt_events", x.attemptEvents()).
		Str("last_event", x.events.lastID).
		Str("check", string(finding)).
		Bool("witnessed", r.witness != nil && r.witness.isInTime()).
		Dur("since_data_ms", r.sinceData).
		Dur("took_ms", took).
		Msg("response_ended_by_connection")
}

// logEnd logs and counts the end of a request.
func (x *exchange) logEnd(result string, status int, code string) {
	now := time.Now()
	m := x.handler.options.Metrics
	m.Ended(result, code, now.Sub(x.received))
	event := x.handler.options.Log.Info().
		Str("request_id", x.call.ID).
		Str("result", result).
		Int("status", status).
		Str("code", code).
		Int("attempts", x.sent).
		Int("events", x.events.count).
		Str("last_event", x.events.lastID).
		Str("framing", x.framing()).
		Dur("total_ms", now.Sub(x.received))
	if x.profile != nil {
		event.Str("profile", x.profile.Name)
	}
	if code == codeUnconfirmed {
		x.confirmationFields(event)
	}
	if !x.firstEventAt.IsZero() {
		m.FirstEvent(x.firstEventAt.Sub(x.received))
		event.Dur("first_ms", x.firstEventAt.Sub(x.received))
	}
	if x.longestGap > 0 {
		event.Dur("longest_gap_ms", x.longestGap)
	}
	event.Msg("request_ended")
}

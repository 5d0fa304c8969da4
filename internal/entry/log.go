package entry

import (
	"strings"
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/placement"
)

// logPlaced records where a request goes and by which figures.
func (x *exchange) logPlaced(p *placed) {
	choice := p.Choice
	x.handler.options.Log.Info().
		Str("request_id", x.call.ID).
		Str("profile", x.profile.Name).
		Str("team", x.team.Name).
		Int64("catalog", x.catalog.Version).
		Dur("catalog_age_ms", x.catalogAge).
		Str("endpoint", choice.Primary.ID).
		Int("helpers", len(choice.Helpers)).
		Str("helper_ids", idsOf(choice.Helpers)).
		Int64("prompt_tokens", x.call.PromptTokens).
		Dur("predicted_ms", choice.Predicted).
		Dur("budget_ms", x.call.Budget).
		Dur("time_limit_ms", x.profile.TimeLimit).
		Int("attempt", x.sent+1).
		Dur("waited_ms", time.Since(x.received)).
		Str("scheduler", p.scheduler).
		Dur("ask_ms", p.askTook).
		Msg("request_placed")
}

// idsOf joins the ids of endpoints.
func idsOf(endpoints []*fleet.Endpoint) string {
	ids := make([]string, len(endpoints))
	for i, e := range endpoints {
		ids[i] = e.ID
	}
	return strings.Join(ids, ",")
}

// logUnplaced records why no endpoint was chosen.
func (x *exchange) logUnplaced(refusal *placement.Refusal) {
	x.handler.options.Log.Info().
		Str("request_id", x.call.ID).
		Str("profile", x.profile.Name).
		Str("reason", string(refusal.Reason)).
		Int64("prompt_tokens", x.call.PromptTokens).
		Dur("objective_ms", x.objectiveLeft(time.Now())).
		Dur("predicted_ms", refusal.Predicted).
		Dur("retry_after_ms", refusal.RetryAfter).
		Dur("waited_ms", time.Since(x.received)).
		Int("endpoints", refusal.Candidates).
		Str("scheduler", x.refusedBy).
		Float64("number", x.lot).
		Float64("unseen", x.unseen(time.Now())).
		Dur("counts_age_ms", x.handler.options.CountsAge(time.Now())).
		Msg("request_not_placed")
}

// logRepeat records whether a failed attempt is followed by another one.
func (x *exchange) logRepeat(e *fleet.Endpoint, reason string, allowed bool) {
	x.handler.options.Log.Info().
		Str("request_id", x.call.ID).
		Str("endpoint", e.ID).
		Str("reason", reason).
		Int("attempts", x.sent).
		Int("max_attempts", x.profile.Attempts).
		Bool("repeat", allowed).
		Msg("attempt_failed")
}

// logSuspect records that an endpoint is avoided from now on.
func (x *exchange) logSuspect(e *fleet.Endpoint, reason string) {
	x.handler.options.Log.Warn().
		Str("request_id", x.call.ID).
		Str("endpoint", e.ID).
		Str("reason", reason).
		Msg("endpoint_suspected")
}

// logEnd records how a request ended.
func (x *exchange) logEnd(result string, status int, code string) {
	now := time.Now()
	m := x.handler.options.Metrics
	m.Ended(result, code, now.Sub(x.received))
	line := x.handler.options.Log.Info().
		Str("request_id", x.call.ID).
		Str("result", result).
		Int("status", status).
		Str("code", code).
		Int("attempts", x.sent).
		Int("events", x.events.count).
		Dur("total_ms", now.Sub(x.received))
	if x.profile != nil {
		line.Str("profile", x.profile.Name)
	}
	if !x.firstAt.IsZero() {
		m.First(x.firstAt.Sub(x.received))
		line.Dur("first_ms", x.firstAt.Sub(x.received))
	}
	line.Msg("request_ended")
}

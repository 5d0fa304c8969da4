package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/acacialift/acacialift/internal/callers"
	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/httpserver"
	"github.com/acacialift/acacialift/internal/outcome"
	"github.com/acacialift/acacialift/internal/peer"
)

const (
	// defaultOutputTokens is reserved if neither the caller nor the profile limits the output.
	defaultOutputTokens = 1024
	// noViewRetryAfter is the Retry-After value while the gateway has no current view.
	noViewRetryAfter = 2 * time.Second
	// leavingRetryAfter is the Retry-After value while the instance is leaving. The load balancer selects another
	// instance for the retry.
	leavingRetryAfter = time.Second
)

// admit checks the request against the current view and stores that view for the whole request.
func (x *exchange) admit(r *http.Request) *outcome.Error {
	buffered, ok := r.Body.(*httpserver.Body)
	if !ok {
		return badRequest("unreadable_body", "the request body could not be read")
	}
	body := buffered.Bytes()
	req, refusal := callers.Parse(r, body)
	if refusal != nil {
		return refusal
	}
	x.req = req
	if x.gateway.refusing.Load() {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StageAdmission, "leaving",
			"this instance is leaving", leavingRetryAfter)
	}
	x.view = x.gateway.views.current.Load()
	if x.view == nil || x.view.index == nil || !x.view.fresh(x.started) {
		return outcome.Refusal(http.StatusServiceUnavailable, outcome.StageAdmission, "no_current_view",
			"this instance does not know the current configuration", noViewRetryAfter)
	}
	if refusal := x.resolveProfile(); refusal != nil {
		return refusal
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
	x.class = peer.ClassOf(x.req.PromptTokens)
	if x.service.Kind == config.KindModel {
		return x.boundOutput()
	}
	return nil
}

// boundOutput limits the output to the memory that is reserved for it: a request for more than its profile's maximum is
// refused, and a request without a limit is dispatched with the profile's maximum.
func (x *exchange) boundOutput() *outcome.Error {
	limit := x.profile.MaxOutputTokens
	if limit == 0 {
		limit = defaultOutputTokens
	}
	if x.profile.MaxOutputTokens > 0 && x.req.MaxTokens > limit {
		return badRequest("max_tokens_too_large", "max_tokens is above the serving profile's maximum")
	}
	if x.req.MaxTokens == 0 {
		x.req.MaxTokens = limit
		x.req.Body = withMaxTokens(x.req.Body, limit)
	}
	return nil
}

// withMaxTokens sets max_tokens in a JSON object that has at least one field and in which max_tokens is missing or null.
func withMaxTokens(body []byte, limit int64) []byte {
	if bytes.Contains(body, []byte(`"max_tokens"`)) {
		var fields map[string]json.RawMessage
		if json.Unmarshal(body, &fields) == nil {
			fields["max_tokens"] = json.RawMessage(strconv.FormatInt(limit, 10))
			if encoded, err := json.Marshal(fields); err == nil {
				return encoded
			}
		}
	}
	opening := bytes.IndexByte(body, '{') + 1
	field := fmt.Sprintf(`"max_tokens":%d,`, limit)
	bounded := make([]byte, 0, len(body)+len(field))
	bounded = append(bounded, body[:opening]...)
	bounded = append(bounded, field...)
	return append(bounded, body[opening:]...)
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

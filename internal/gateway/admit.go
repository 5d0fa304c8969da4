package gateway

import (
	"net/http"
	"time"

	"github.com/acacialift/acacialift/internal/callers"
	"github.com/acacialift/acacialift/internal/config"
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

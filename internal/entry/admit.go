package entry

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/acacialift/acacialift/internal/clock"
	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/outcome"
)

// answerTime and streamTime are what a request may need beyond its objective. During a planned stop, requests with less
// time left are refused, so that another instance serves them whole.
const (
	answerTime = 2 * time.Second
	streamTime = 5 * time.Second
)

// admit finds the profile, the team and the time of a call, or refuses it.
func (x *exchange) admit() *outcome.Error {
	catalog := x.handler.options.State.Snapshot().Catalog
	if catalog == nil {
		return refuseUnavailable(outcome.StageAdmission, codeNoCatalog, "no configuration was read yet", unavailableRetryAfter)
	}
	x.catalog = catalog
	x.profile = catalog.Match(x.call.Host, x.call.Path)
	if x.profile == nil {
		return outcome.Refusal(http.StatusNotFound, outcome.StageAdmission, codeUnknownProfile, "no profile matches host and path", 0)
	}
	if refusal := x.admitTeam(); refusal != nil {
		return refusal
	}
	x.limit = x.profile.TimeLimit
	if x.call.Budget > 0 && (x.limit == 0 || x.call.Budget < x.limit) {
		x.limit = x.call.Budget
	}
	left, stopping := x.handler.untilStop()
	if stopping && left < x.profile.Objective+timeAfterObjective(x.profile.Kind) {
		return refuseUnavailable(outcome.StageAdmission, codeStopping, "the instance is stopping", stoppingRetryAfter)
	}
	x.service = catalog.Services[chooseService(x.profile.TrafficSplit)]
	if x.service == nil {
		return refuseUnavailable(outcome.StageAdmission, codeNoEndpoint, "the profile's service is not published", unavailableRetryAfter)
	}
	return nil
}

func timeAfterObjective(kind fleet.Kind) time.Duration {
	if kind == fleet.Streaming {
		return streamTime
	}
	return answerTime
}

// admitTeam checks the caller's key. A key is accepted only while the catalog is known to be recent, because a key that
// was taken away must not be accepted for long, however the instance lost touch with the platform.
func (x *exchange) admitTeam() *outcome.Error {
	if !x.catalog.HasTeams || x.profile.Public {
		return nil
	}
	maxAge := x.handler.options.MaxCatalogAge
	x.catalogAge = clock.Boot() - x.handler.options.State.ConfirmedAt()
	if maxAge > 0 && x.catalogAge > maxAge {
		return refuseUnavailable(outcome.StageAdmission, codeUnconfirmed, "the configuration was not confirmed lately", unavailableRetryAfter)
	}
	team, known := x.catalog.Teams[x.call.Key]
	if !known {
		return outcome.Refusal(http.StatusUnauthorized, outcome.StageAdmission, codeUnknownKey, "the key is not known", 0)
	}
	x.team = team
	return nil
}

// chooseService picks a service at random by weight.
func chooseService(shares []fleet.WeightedService) string {
	total := 0
	for _, s := range shares {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	at := rand.IntN(total)
	for _, s := range shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return ""
}

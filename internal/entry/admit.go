package entry

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/acacialift/acacialift/internal/clock"
	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/outcome"
)

// unstatedTimeLimit is the time limit of a request for which neither the profile nor the caller states one.
const unstatedTimeLimit = 10 * time.Minute

// admit finds the profile, the team, the time limit and the service of a call, or refuses the call.
func (x *exchange) admit() *outcome.Error {
	snapshot, confirmed := x.handler.options.State.ConfirmedSnapshot()
	catalog := snapshot.Catalog
	if catalog == nil {
		return refuseUnavailable(outcome.StageAdmission, codeNoCatalog, "no configuration has been loaded yet", x.outageDelay(time.Now()))
	}
	x.catalog, x.confirmed, x.catalogAge = catalog, confirmed, clock.Boot()-confirmed.At
	x.profile = catalog.Match(x.call.Host, x.call.Path)
	if x.profile == nil {
		return outcome.Refusal(http.StatusNotFound, outcome.StageAdmission, codeUnknownProfile, "no profile matches host and path", 0)
	}
	if refusal := x.admitTeam(); refusal != nil {
		return refusal
	}
	x.timeLimit = x.profile.TimeLimit
	if x.call.Budget > 0 && (x.timeLimit == 0 || x.call.Budget < x.timeLimit) {
		x.timeLimit = x.call.Budget
	}
	if x.timeLimit == 0 {
		x.timeLimit = unstatedTimeLimit
	}
	if !x.handler.shutdown.mayAccept(x.profile, x.timeLimit) {
		return refuseUnavailable(outcome.StageAdmission, codeStopping, "the instance is shutting down", stoppingRetryAfter)
	}
	x.service = catalog.Services[chooseService(x.profile.TrafficSplit)]
	if x.service == nil {
		return refuseUnavailable(outcome.StageAdmission, codeNoEndpoint, "the profile's service is not published", unavailableRetryAfter)
	}
	return nil
}

// admitTeam checks the caller's key. It accepts a key only if the catalog was confirmed within MaxCatalogAge. Otherwise an
// instance that cannot reach the platform would continue to accept revoked keys.
func (x *exchange) admitTeam() *outcome.Error {
	if !x.catalog.HasTeams || x.profile.Public {
		return nil
	}
	maxAge := x.handler.options.MaxCatalogAge
	if maxAge > 0 && x.catalogAge > maxAge {
		return refuseUnavailable(outcome.StageAdmission, codeUnconfirmed, "the configuration has not been confirmed recently enough", x.outageDelay(time.Now()))
	}
	team, known := x.catalog.Teams[x.call.Key]
	if !known {
		return outcome.Refusal(http.StatusUnauthorized, outcome.StageAdmission, codeUnknownKey, "the key is not known", 0)
	}
	x.team = team
	return nil
}

// chooseService picks a service of a traffic split at random, by weight.
func chooseService(split []fleet.WeightedService) string {
	total := 0
	for _, s := range split {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	remaining := rand.IntN(total)
	for _, s := range split {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	return ""
}

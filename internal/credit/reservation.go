package credit

import (
	"time"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/peer"
)

// reservation is work that uses part of the endpoint's limit: a grant of this account, a grant of an earlier owner that a
// gateway reported, or a stream that only the engine's report lists.
type reservation struct {
	tokens       int64
	promptTokens int64
	class        peer.LengthClass
	team         string
	gateway      string
	incarnation  int64
	group        bool
	// grantedHere is true if this account granted the reservation. Only then epoch, the ramp's epoch at the grant, and
	// expectedFirstToken, the estimated time to the first token, are set.
	grantedHere        bool
	epoch              uint64
	expectedFirstToken time.Duration
	// deadline is the time at which the request's budget has certainly passed; zero if the budget is unknown.
	deadline time.Time
	// listingDeadline is the time by which the engine lists the stream, if the stream starts at all.
	listingDeadline time.Time
	// lastHeldReport is the time of the last evidence that a live gateway holds the stream: its grant, a report about it
	// or its end at the gateway. It is zero if there was none.
	lastHeldReport time.Time
	// lastGatewayReport is the time of the last report of the same gateway process about any reservation.
	lastGatewayReport time.Time
	gatewayDead       bool
	// reported is true once a gateway has reported that it holds the reservation, dispatched once the gateway has
	// reported that it sent the request to the endpoint.
	reported    bool
	dispatched  bool
	prefillDone bool
	// firstTokenKnown is true once the gateway has reported the time to the first token.
	firstTokenKnown bool
	// closed is true if the gateway has ended the stream but the engine may still hold its memory.
	closed bool
	// listed is true if the engine's latest report lists the stream, everListed if any report listed it.
	listed      bool
	everListed  bool
	firstListed time.Time
}

// usage is the sum of all reservations.
type usage struct {
	total config.Limit
	// nonShort is the usage of medium and long prompts.
	nonShort config.Limit
	// unconfirmed and unconfirmedNonShort are the usage of reservations that the engine's latest report does not list;
	// see unconfirmedTokens.
	unconfirmed         config.Limit
	unconfirmedNonShort config.Limit
	queuedTokens        int64
	longPrefills        int
	teams               map[string]config.Limit
}

func addStream(limit *config.Limit, tokens int64) {
	limit.Streams++
	limit.Tokens += tokens
}

func (a *Account) usage() usage {
	use := usage{teams: make(map[string]config.Limit)}
	for _, r := range a.reservations {
		a.addReservation(&use, r)
	}
	// Memory that the engine uses in addition to its listed streams is not available for reservations.
	use.total.Tokens += a.engine.unattributed
	use.nonShort.Tokens += a.engine.unattributed
	return use
}

func (a *Account) addReservation(use *usage, r *reservation) {
	addStream(&use.total, r.tokens)
	team := use.teams[r.team]
	addStream(&team, r.tokens)
	use.teams[r.team] = team
	if r.class != peer.ClassShort {
		addStream(&use.nonShort, r.tokens)
	}
	if !r.listed {
		charge := a.unconfirmedTokens(r.class, r.tokens)
		addStream(&use.unconfirmed, charge)
		if r.class != peer.ClassShort {
			addStream(&use.unconfirmedNonShort, charge)
		}
	}
	if r.prefillDone {
		return
	}
	use.queuedTokens += r.promptTokens
	if r.class == peer.ClassLong {
		use.longPrefills++
	}
}

// unconfirmedTokens returns the tokens charged for a reservation until the engine lists it: its own, but at most the part
// of the cold limit that its class may use. Without this cap, a prompt larger than the cold limit could never run. With
// it, such a prompt can run, and is the only medium or long one that the engine has not listed yet.
func (a *Account) unconfirmedTokens(class peer.LengthClass, tokens int64) int64 {
	return min(tokens, a.limits.forClass(a.limits.limitAt(0), class).Tokens)
}

// refusal returns the reason why the request must be refused, or "".
func (a *Account) refusal(now time.Time, request peer.CreditRequest, use usage) string {
	tokens := a.tokens(request.PromptTokens, request.OutputTokens)
	switch {
	case request.RequestID == "" || request.PromptTokens < 0 || request.OutputTokens < 0 || tokens < 0:
		return ReasonBadRequest
	case request.Endpoint != a.options.Endpoint:
		return ReasonNotOwner
	case a.outOfService:
		return ReasonOutOfService
	case a.leaving:
		return ReasonLeaving
	case a.isDuplicate(request.RequestID):
		return ReasonDuplicate
	case a.acquiring(now):
		return ReasonAcquiring
	case a.reportTooOld(now):
		return ReasonUnknown
	case request.BudgetLeft <= 0 || a.prefillWait(now, use.queuedTokens+request.PromptTokens) > request.BudgetLeft:
		return ReasonBudget
	}
	return a.capacityRefusal(now, request, tokens, use)
}

// capacityRefusal returns the reason why the request does not fit the limits or the team's share, or "". It records the
// refused request as demand of the team, unless the request would not fit an empty endpoint either.
func (a *Account) capacityRefusal(now time.Time, request peer.CreditRequest, tokens int64, use usage) string {
	class := peer.ClassOf(request.PromptTokens)
	if !a.limits.Plain && class == peer.ClassLong {
		if reason := a.longPrefillRefusal(now, request.Team, use); reason != "" {
			return reason
		}
	}
	a.capacityFairness.team(now, request.Team, use.teams[request.Team].Streams == 0)
	reason := a.limitRefusal(class, tokens, use)
	if reason == "" && a.overShare(now, request.Team, tokens, use) {
		reason = ReasonTeamShare
	}
	needed := config.Limit{Streams: 1, Tokens: tokens}
	if reason != "" && a.limits.covers(a.limits.forClass(a.limit(), class), needed) {
		a.capacityFairness.refused(now, request.Team)
	}
	return reason
}

// longPrefillRefusal limits the number of long prefills. Demand for them is recorded separately from demand for streams
// and tokens, because a team that waits for a long prefill must not keep other teams from memory that it could not use yet.
func (a *Account) longPrefillRefusal(now time.Time, team string, use usage) string {
	requester := a.longPrefillFairness.team(now, team, true)
	reason := ""
	switch {
	case use.longPrefills >= a.limits.LongPrefills:
		reason = ReasonLongPrefills
	case a.longPrefillFairness.behind(now, team, requester):
		reason = ReasonTeamShare
	}
	if reason != "" {
		a.longPrefillFairness.refused(now, team)
	}
	return reason
}

func (a *Account) limitRefusal(class peer.LengthClass, tokens int64, use usage) string {
	limit := a.limit()
	if reason := a.excess(limit, use.total, tokens); reason != "" {
		return reason
	}
	if class != peer.ClassShort {
		if reason := a.excess(a.limits.forClass(limit, class), use.nonShort, tokens); reason != "" {
			return reason
		}
	}
	if a.limits.Plain {
		return ""
	}
	return a.unconfirmedRefusal(class, tokens, use)
}

// unconfirmedRefusal limits the work that the engine's latest report does not list to the cold limit, at every step of the
// ramp. If the engine restarted right after that report, this is exactly the work that the cold engine gets. A restart
// that has not been detected yet therefore cannot overload the engine.
func (a *Account) unconfirmedRefusal(class peer.LengthClass, tokens int64, use usage) string {
	cold := a.limits.limitAt(0)
	charge := a.unconfirmedTokens(class, tokens)
	if a.excess(cold, use.unconfirmed, charge) != "" {
		return ReasonUnconfirmed
	}
	if class != peer.ClassShort && a.excess(a.limits.forClass(cold, class), use.unconfirmedNonShort, charge) != "" {
		return ReasonUnconfirmed
	}
	return ""
}

// excess returns the reason why one more stream with the given tokens does not fit the limit, or "".
func (a *Account) excess(limit, used config.Limit, tokens int64) string {
	warm := a.ramp.step == a.limits.lastStep()
	switch {
	case used.Streams+1 > limit.Streams && warm:
		return ReasonStreams
	case !a.limits.Plain && used.Tokens+tokens > limit.Tokens && warm:
		return ReasonMemory
	case used.Streams+1 > limit.Streams, !a.limits.Plain && used.Tokens+tokens > limit.Tokens:
		return ReasonColdLimit
	default:
		return ""
	}
}

func (a *Account) isDuplicate(id string) bool {
	_, ended := a.ended[id]
	return ended || a.reservations[id] != nil
}

const (
	minRetryAfter = 100 * time.Millisecond
	// maxCapacityRetryAfter is below demandLifetime, so that the demand of a refused team lasts until its retry.
	maxCapacityRetryAfter = 500 * time.Millisecond
	maxRetryAfter         = 5 * time.Second
	unknownRetryAfter     = time.Second
)

// retryAfter estimates the time until a request could be granted; 0 means that a retry at this endpoint is unlikely to help.
func (a *Account) retryAfter(now time.Time, reason string, use usage) time.Duration {
	queue := a.prefillWait(now, use.queuedTokens)
	switch reason {
	case ReasonAcquiring:
		return clamp(a.options.AcquiredAt.Add(listingTimeout).Sub(now), minRetryAfter, maxRetryAfter)
	case ReasonUnknown:
		return unknownRetryAfter
	case ReasonBudget:
		return clamp(queue, minRetryAfter, maxRetryAfter)
	case ReasonColdLimit, ReasonUnconfirmed, ReasonMemory, ReasonStreams, ReasonLongPrefills, ReasonTeamShare:
		return clamp(queue, minRetryAfter, maxCapacityRetryAfter)
	default:
		return 0
	}
}

func clamp(d, lower, upper time.Duration) time.Duration { return min(max(d, lower), upper) }

// pastPrefill reports whether the prefill of a listed stream is done.
func pastPrefill(phase engine.Phase) bool {
	return phase == engine.PhaseDecode || phase == engine.PhaseExported
}

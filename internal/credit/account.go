package credit

import (
	"time"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/peer"
)

const (
	// CreditLife is the time from the moment a gateway sent its request until the credit expires.
	CreditLife = time.Second
	// DispatchTime is the longest time from a gateway's last check of a credit until the engine lists the stream.
	DispatchTime = 250 * time.Millisecond
	// maxClockRatio is the largest ratio of the rates of two processes' monotonic clocks.
	maxClockRatio = 1.05
	// listingTimeout is the longest time from a grant until the engine lists the stream, on the owner's clock. A credit
	// that the gateway has not used by then has expired.
	listingTimeout = time.Duration(float64(CreditLife)*maxClockRatio) + DispatchTime
	// HeldReportTime is the time within which gateways report the reservations that they hold to a new owner.
	HeldReportTime = time.Second
	// UnknownAfter is the age of the engine's latest report above which the endpoint's state is unknown.
	UnknownAfter = 5 * time.Second
	// MaxReportAge is the age of the engine's latest report above which nothing is granted.
	MaxReportAge = 15 * time.Second
	// HolderTimeout is the time without a report from a live holder after which a stream is an orphan.
	HolderTimeout = 5 * time.Second
	// maxListingLag is how long the engine may still list a stream after its gateway reported its end.
	maxListingLag = time.Second
	// endedRetention is how long the ids of ended requests are kept. A late report about one of them then does not
	// create a new reservation.
	endedRetention = time.Minute
)

// The reasons of a refusal.
const (
	ReasonBadRequest   = "bad_ask"
	ReasonNotOwner     = "not_owner"
	ReasonOutOfService = "out_of_service"
	ReasonLeaving      = "leaving"
	ReasonDuplicate    = "duplicate"
	// ReasonAcquiring means that the new owner may not know all credits and streams of an earlier owner yet.
	ReasonAcquiring = "acquiring"
	// ReasonUnknown means that the engine's latest report is older than MaxReportAge.
	ReasonUnknown      = "unknown"
	ReasonBudget       = "budget"
	ReasonLongPrefills = "long_prefills"
	ReasonColdLimit    = "cold_limit"
	// ReasonUnconfirmed means that the cold limit has no room for the request beside the reservations that the engine's
	// latest report does not list.
	ReasonUnconfirmed = "unconfirmed"
	ReasonMemory      = "memory"
	ReasonStreams     = "streams"
	ReasonTeamShare   = "team_share"
)

// Options configure an Account.
type Options struct {
	Endpoint string
	// Owner is the instance name of the lease holder.
	Owner string
	// Fence is the owner's fencing number.
	Fence  int64
	Limits Limits
	// AcquiredAt is the time at which the owner acquired the lease.
	AcquiredAt time.Time
}

// Account holds the reservations and the admission state of one endpoint at its owner. It is not safe for concurrent use.
// The owner discards it when its lease ends.
type Account struct {
	options      Options
	limits       Limits
	outOfService bool
	leaving      bool
	reservations map[string]*reservation
	// ended maps the ids of ended or unused reservations to the time of their end.
	ended            map[string]time.Time
	engine           engineState
	ramp             ramp
	rate             prefillRate
	capacityFairness fairness
	// longPrefillFairness orders the teams that wait for a long prefill; capacityFairness those that wait for streams
	// or tokens.
	longPrefillFairness fairness
	// incarnations holds the highest known incarnation of each gateway.
	incarnations map[string]int64
	prunedAt     time.Time
}

// New returns the account of an endpoint whose lease was just acquired. It contains no reservations of earlier owners yet.
func New(options Options) *Account {
	return &Account{
		options:             options,
		limits:              options.Limits,
		reservations:        make(map[string]*reservation),
		ended:               make(map[string]time.Time),
		capacityFairness:    fairness{teams: make(map[string]*teamDemand)},
		longPrefillFairness: fairness{teams: make(map[string]*teamDemand)},
		incarnations:        make(map[string]int64),
		prunedAt:            options.AcquiredAt,
	}
}

// SetLimits applies the limits of a new configuration revision. The ramp continues at the highest step whose new limit
// does not exceed the current limit. Only a raised cold limit therefore raises the limit without completed work.
func (a *Account) SetLimits(limits Limits) {
	current := a.limits.limitAt(a.ramp.step)
	a.limits = limits
	step := min(a.ramp.step, limits.lastStep())
	for step > 0 && !limits.covers(current, limits.limitAt(step)) {
		step--
	}
	a.ramp.setStep(step)
}

// SetOutOfService stops or allows new reservations, depending on the state of the endpoint's failure domain.
func (a *Account) SetOutOfService(out bool) { a.outOfService = out }

// SetLeaving stops or allows new reservations, depending on the endpoint's entry in the configuration.
func (a *Account) SetLeaving(leaving bool) { a.leaving = leaving }

// SetFence sets the fencing number that is sent with each grant.
func (a *Account) SetFence(fence int64) { a.options.Fence = fence }

// LastDrop returns the reason why the ramp last returned to its first step, or "" if it never did.
func (a *Account) LastDrop() string { return a.ramp.lastDrop }

// Reserve grants or refuses one reservation for a gateway process. A repeated request id is always refused, because a
// second grant would let the gateway dispatch the request after the first credit has expired.
func (a *Account) Reserve(now time.Time, request peer.CreditRequest, gateway string, incarnation int64) peer.CreditReply {
	a.refresh(now)
	a.recordIncarnation(gateway, incarnation)
	use := a.usage()
	if reason := a.refusal(now, request, use); reason != "" {
		return peer.CreditReply{
			Reason:     reason,
			Fence:      a.options.Fence,
			RetryAfter: a.retryAfter(now, reason, use),
			Summary:    a.Summary(now),
		}
	}
	r := a.newReservation(now, request, use)
	r.gateway, r.incarnation = gateway, incarnation
	a.reservations[request.RequestID] = r
	a.capacityFairness.granted(request.Team, a.fairCost(r.tokens)/a.limits.weight(request.Team))
	if r.class == peer.ClassLong {
		a.longPrefillFairness.granted(request.Team, 1/a.limits.weight(request.Team))
	}
	return peer.CreditReply{
		Granted:  true,
		ValidFor: CreditLife,
		Fence:    a.options.Fence,
		Summary:  a.Summary(now),
	}
}

func (a *Account) newReservation(now time.Time, request peer.CreditRequest, use usage) *reservation {
	r := &reservation{
		tokens:          a.tokens(request.PromptTokens, request.OutputTokens),
		promptTokens:    request.PromptTokens,
		class:           peer.ClassOf(request.PromptTokens),
		team:            request.Team,
		group:           request.Group,
		grantedHere:     true,
		epoch:           a.ramp.epoch,
		listingDeadline: now.Add(listingTimeout),
		lastHeldReport:  now,
		deadline:        now.Add(time.Duration(float64(request.BudgetLeft)*maxClockRatio) + DispatchTime),
	}
	if a.limits.PrefillRate > 0 {
		r.expectedFirstToken = seconds(float64(use.queuedTokens+request.PromptTokens) / a.limits.PrefillRate)
	}
	return r
}

// tokens returns the KV memory that a request needs, in tokens; a plain service uses none.
func (a *Account) tokens(prompt, output int64) int64 {
	if a.limits.Plain {
		return 0
	}
	return prompt + output
}

// Summary returns the endpoint's state and load for gateways and other controllers.
func (a *Account) Summary(now time.Time) peer.EndpointSummary {
	a.refresh(now)
	use := a.usage()
	summary := peer.EndpointSummary{
		Endpoint:     a.options.Endpoint,
		Owner:        a.options.Owner,
		State:        a.state(now),
		QueuedTokens: use.queuedTokens,
		LongPrefills: use.longPrefills,
	}
	if a.engine.known {
		summary.AgeMS = now.Sub(a.engine.sampledAt).Milliseconds()
	}
	if summary.State == peer.EndpointLeaving || a.acquiring(now) || a.reportTooOld(now) {
		return summary
	}
	limit := a.limit()
	summary.FreeTokens = max(limit.Tokens-use.total.Tokens, 0)
	summary.FreeStreams = max(limit.Streams-use.total.Streams, 0)
	return summary
}

func (a *Account) state(now time.Time) peer.EndpointState {
	switch {
	case a.leaving || a.outOfService:
		return peer.EndpointLeaving
	case a.stale(now):
		return peer.EndpointUnknown
	case a.ramp.step == 0 && a.limits.lastStep() > 0:
		return peer.EndpointCold
	case a.ramp.step < a.limits.lastStep():
		return peer.EndpointWarming
	default:
		return peer.EndpointWarm
	}
}

// limit returns the limit on all reservations together: that of the ramp's step, and never more than the engine's memory.
func (a *Account) limit() config.Limit {
	limit := a.limits.limitAt(a.ramp.step)
	if a.engine.memoryTokens > 0 {
		limit.Tokens = min(limit.Tokens, a.engine.memoryTokens)
	}
	return limit
}

// refresh updates the account for the current time: it resets the ramp if the engine's report is stale, releases expired
// reservations of plain services and deletes old records.
func (a *Account) refresh(now time.Time) {
	if a.stale(now) {
		a.ramp.drop(dropStaleReport)
	}
	if a.limits.Plain {
		a.releasePlain(now)
	}
	if now.Sub(a.prunedAt) < endedRetention/4 {
		return
	}
	a.prunedAt = now
	for id, at := range a.ended {
		if now.Sub(at) > endedRetention && a.reservations[id] == nil {
			delete(a.ended, id)
		}
	}
	a.capacityFairness.prune(now)
	a.longPrefillFairness.prune(now)
}

// stale reports whether the endpoint's state is unknown because the engine's latest report is too old.
func (a *Account) stale(now time.Time) bool { return a.reportAge(now) > UnknownAfter }

// reportTooOld reports whether the engine's latest report is so old that nothing may be granted.
func (a *Account) reportTooOld(now time.Time) bool { return a.reportAge(now) > MaxReportAge }

// reportAge returns the age of the engine's latest report. Without a report it is the time since the lease was acquired,
// and 0 for a plain service, which sends none.
func (a *Account) reportAge(now time.Time) time.Duration {
	switch {
	case a.engine.known:
		return now.Sub(a.engine.sampledAt)
	case a.limits.Plain:
		return 0
	default:
		return now.Sub(a.options.AcquiredAt)
	}
}

// acquiring reports whether streams of earlier owners may still be unknown. A report sampled right after the acquisition
// is not enough: a gateway may dispatch a request on a credit of the earlier owner until that credit expires. The sample
// must be later than the last possible dispatch. A plain service has no engine report. There the gateways get
// HeldReportTime more to report the reservations that they hold.
func (a *Account) acquiring(now time.Time) bool {
	lastListingAt := a.options.AcquiredAt.Add(listingTimeout)
	if a.limits.Plain {
		return now.Before(lastListingAt.Add(HeldReportTime))
	}
	return !a.engine.known || a.engine.sampledAt.Before(lastListingAt)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

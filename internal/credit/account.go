package credit

import (
	"time"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/peer"
)

const (
	// CreditLife is the time from the moment a gateway sent its request until the credit expires.
	CreditLife = time.Second
	// DispatchTime bounds the time from a gateway's last check of a credit until the engine lists the stream.
	DispatchTime = 250 * time.Millisecond
	// maxClockRatio is the largest ratio of the rates of two processes' monotonic clocks.
	maxClockRatio = 1.05
	// usableFor is the time after a grant, on the owner's clock, after which the stream is listed or never will be.
	usableFor = time.Duration(float64(CreditLife)*maxClockRatio) + DispatchTime
	// HoldingsPeriod is the interval at which gateways report the reservations they hold.
	HoldingsPeriod = time.Second
	// UnknownAfter is the age of the engine's report beyond which the endpoint's state is unknown.
	UnknownAfter = 5 * time.Second
	// MaxReportAge is the age of the engine's report beyond which nothing is granted.
	MaxReportAge = 15 * time.Second
	// HolderTimeout is the time without a live holder after which a stream is an orphan.
	HolderTimeout = 5 * time.Second
	// endLag is the time for which the engine may still list a stream whose end the gateway has seen.
	endLag = time.Second
	// endMemory is the time for which ended request ids are remembered, so that late reports do not revive them.
	endMemory = time.Minute
)

// The reasons of a refusal.
const (
	ReasonBadRequest   = "bad_ask"
	ReasonNotOwner     = "not_owner"
	ReasonOutOfService = "out_of_service"
	ReasonLeaving      = "leaving"
	ReasonDuplicate    = "duplicate"
	// ReasonAcquiring means that credits or streams of an earlier owner may still be unknown.
	ReasonAcquiring = "acquiring"
	// ReasonUnknown means that the engine's last report is too old.
	ReasonUnknown      = "unknown"
	ReasonBudget       = "budget"
	ReasonLongPrefills = "long_prefills"
	ReasonColdLimit    = "cold_limit"
	// ReasonUnconfirmed means that the engine has yet to report work as large as its cold limit.
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

// Account is the record of one endpoint at its owner. It is not safe for concurrent use. The owner discards it when its
// lease ends.
type Account struct {
	options      Options
	limits       Limits
	outOfService bool
	leaving      bool
	holds        map[string]*hold
	// ended maps the ids of ended or unused reservations to the time of their end.
	ended  map[string]time.Time
	engine engineView
	ramp   ramp
	rate   prefillRate
	fair   fairness
	// fairLong orders the teams that wait for a long prefill.
	fairLong fairness
	// incarnations holds the highest incarnation seen of each gateway.
	incarnations map[string]int64
	prunedAt     time.Time
}

// New returns the account of an endpoint whose lease was just acquired. It knows no holdings of earlier owners yet.
func New(options Options) *Account {
	return &Account{
		options:      options,
		limits:       options.Limits,
		holds:        make(map[string]*hold),
		ended:        make(map[string]time.Time),
		fair:         fairness{teams: make(map[string]*teamDemand)},
		fairLong:     fairness{teams: make(map[string]*teamDemand)},
		incarnations: make(map[string]int64),
		prunedAt:     options.AcquiredAt,
	}
}

// SetLimits puts the limits of a new configuration revision in force. The ramp continues at the highest step that the
// limit in force before covers, so that only a raised cold limit has an effect without completed work.
func (a *Account) SetLimits(limits Limits) {
	inForce := a.limits.at(a.ramp.step)
	a.limits = limits
	step := min(a.ramp.step, limits.top())
	for step > 0 && !limits.covers(inForce, limits.at(step)) {
		step--
	}
	a.ramp.setStep(step)
}

// SetOutOfService stops or allows new work according to the endpoint's failure domain.
func (a *Account) SetOutOfService(out bool) { a.outOfService = out }

// SetLeaving stops or allows new work according to the endpoint's entry in the configuration.
func (a *Account) SetLeaving(leaving bool) { a.leaving = leaving }

// SetFence changes the fencing number that grants carry.
func (a *Account) SetFence(fence int64) { a.options.Fence = fence }

// LastDrop returns the reason of the ramp's last return to its first step, or "" if there was none.
func (a *Account) LastDrop() string { return a.ramp.lastDrop }

// Reserve grants or refuses one reservation for a gateway's process. The answer to a repeated request id is always a
// refusal: granting it again would let the gateway dispatch the request after the first credit's expiry.
func (a *Account) Reserve(now time.Time, ask peer.CreditRequest, gateway string, incarnation int64) peer.CreditReply {
	a.refresh(now)
	a.noteIncarnation(gateway, incarnation)
	use := a.usage()
	if reason := a.refusal(now, ask, use); reason != "" {
		return peer.CreditReply{
			Reason:     reason,
			Fence:      a.options.Fence,
			RetryAfter: a.retryAfter(now, reason, use),
			Summary:    a.Summary(now),
		}
	}
	h := a.newHold(now, ask, use)
	h.gateway, h.incarnation = gateway, incarnation
	a.holds[ask.RequestID] = h
	a.fair.granted(ask.Team, a.fairCost(h.tokens)/a.limits.weight(ask.Team))
	if h.class == peer.ClassLong {
		a.fairLong.granted(ask.Team, 1/a.limits.weight(ask.Team))
	}
	return peer.CreditReply{
		Granted:  true,
		ValidFor: CreditLife,
		Fence:    a.options.Fence,
		Summary:  a.Summary(now),
	}
}

func (a *Account) newHold(now time.Time, ask peer.CreditRequest, use usage) *hold {
	h := &hold{
		tokens:     a.tokens(ask.PromptTokens, ask.OutputTokens),
		prompt:     ask.PromptTokens,
		class:      peer.ClassOf(ask.PromptTokens),
		team:       ask.Team,
		group:      ask.Group,
		own:        true,
		epoch:      a.ramp.epoch,
		usableTill: now.Add(usableFor),
		lastHeld:   now,
		deadline:   now.Add(time.Duration(float64(ask.BudgetLeft)*maxClockRatio) + DispatchTime),
	}
	if a.limits.PrefillRate > 0 {
		h.expected = seconds(float64(use.queuedTokens+ask.PromptTokens) / a.limits.PrefillRate)
	}
	return h
}

// tokens returns the KV memory of a request; a plain service uses none.
func (a *Account) tokens(prompt, output int64) int64 {
	if a.limits.Plain {
		return 0
	}
	return prompt + output
}

// Summary returns the endpoint's load for gateways and other controllers.
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
	if summary.State == peer.EndpointLeaving || a.acquiring(now) || a.silent(now) {
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
	case a.ramp.step == 0 && a.limits.top() > 0:
		return peer.EndpointCold
	case a.ramp.step < a.limits.top():
		return peer.EndpointWarming
	default:
		return peer.EndpointWarm
	}
}

// limit returns the bound on all reservations together: the ramp's step, and never more than the engine's memory.
func (a *Account) limit() config.Limit {
	limit := a.limits.at(a.ramp.step)
	if a.engine.memoryTokens > 0 {
		limit.Tokens = min(limit.Tokens, a.engine.memoryTokens)
	}
	return limit
}

// refresh applies what follows from the passage of time.
func (a *Account) refresh(now time.Time) {
	if a.stale(now) {
		a.ramp.drop(dropStaleReport)
	}
	if a.limits.Plain {
		a.releasePlain(now)
	}
	if now.Sub(a.prunedAt) < endMemory/4 {
		return
	}
	a.prunedAt = now
	for id, at := range a.ended {
		if now.Sub(at) > endMemory && a.holds[id] == nil {
			delete(a.ended, id)
		}
	}
	a.fair.prune(now)
	a.fairLong.prune(now)
}

// stale tells whether the endpoint's state is unknown for lack of a recent report.
func (a *Account) stale(now time.Time) bool { return a.reportAge(now) > UnknownAfter }

// silent tells whether the report is so old that nothing may be granted.
func (a *Account) silent(now time.Time) bool { return a.reportAge(now) > MaxReportAge }

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

// acquiring tells whether streams of earlier owners may still be unknown. A report sampled right after the acquisition
// is not enough: a credit of the earlier owner may be handed over until it expires, so the sample must be later than the
// last dispatch. A plain service has no report; there the gateways get one period to report their holdings.
func (a *Account) acquiring(now time.Time) bool {
	settledAt := a.options.AcquiredAt.Add(usableFor)
	if a.limits.Plain {
		return now.Before(settledAt.Add(HoldingsPeriod))
	}
	return !a.engine.known || a.engine.sampledAt.Before(settledAt)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

package credit

import (
	"time"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/peer"
)

// hold is work that counts against the endpoint: a grant of this account, a reservation of an earlier owner that a
// gateway reported, or a stream that only the engine's report shows.
type hold struct {
	tokens      int64
	prompt      int64
	class       peer.LengthClass
	team        string
	gateway     string
	incarnation int64
	group       bool
	// own is true if this account granted the hold; epoch and expected are set then.
	own      bool
	epoch    uint64
	expected time.Duration
	// deadline is the time at which the request's budget has certainly passed; zero if the budget is unknown.
	deadline time.Time
	// usableTill is the time by which the engine lists the stream or never will.
	usableTill time.Time
	// lastHeld is the last sign that a live gateway holds the stream; zero if there was none.
	lastHeld time.Time
	// contacted is the last report of the same gateway process about any reservation.
	contacted time.Time
	gone      bool
	// reported is true once a gateway has said that it holds the hold; started once it has handed the request over.
	reported  bool
	started   bool
	prefilled bool
	// timed is true once the gateway has reported the time to the first token.
	timed bool
	// closed is true once the gateway has ended the stream while the engine may still hold its memory.
	closed bool
	// listed is true if the engine's latest report shows the stream; everListed if any report did.
	listed     bool
	everListed bool
	firstList  time.Time
}

// usage is the sum of all holds.
type usage struct {
	total config.Limit
	// longer covers medium and long prompts.
	longer config.Limit
	// unconfirmed and unconfirmedLonger cover the holds that the engine's latest report does not show; a prompt counts
	// at most as much as the cold limit leaves to it.
	unconfirmed       config.Limit
	unconfirmedLonger config.Limit
	queuedTokens      int64
	longPrefills      int
	teams             map[string]config.Limit
}

func add(limit *config.Limit, tokens int64) {
	limit.Streams++
	limit.Tokens += tokens
}

func (a *Account) usage() usage {
	use := usage{teams: make(map[string]config.Limit)}
	for _, h := range a.holds {
		a.addHold(&use, h)
	}
	// Memory that the engine uses beyond its listed streams is nobody's to grant.
	use.total.Tokens += a.engine.unattributed
	use.longer.Tokens += a.engine.unattributed
	return use
}

func (a *Account) addHold(use *usage, h *hold) {
	add(&use.total, h.tokens)
	team := use.teams[h.team]
	add(&team, h.tokens)
	use.teams[h.team] = team
	if h.class != peer.ClassShort {
		add(&use.longer, h.tokens)
	}
	if !h.listed {
		charge := a.unconfirmedCharge(h.class, h.tokens)
		add(&use.unconfirmed, charge)
		if h.class != peer.ClassShort {
			add(&use.unconfirmedLonger, charge)
		}
	}
	if h.prefilled {
		return
	}
	use.queuedTokens += h.prompt
	if h.class == peer.ClassLong {
		use.longPrefills++
	}
}

// unconfirmedCharge returns the tokens that a hold counts until the engine lists it. A prompt larger than the cold limit
// could otherwise never run; it fills the part of the limit that is open to its class instead, so that it is the only
// unconfirmed one beside short prompts.
func (a *Account) unconfirmedCharge(class peer.LengthClass, tokens int64) int64 {
	return min(tokens, a.limits.forClass(a.limits.at(0), class).Tokens)
}

// refusal returns the reason why the ask must be refused, or "".
func (a *Account) refusal(now time.Time, ask peer.CreditRequest, use usage) string {
	tokens := a.tokens(ask.PromptTokens, ask.OutputTokens)
	switch {
	case ask.RequestID == "" || ask.PromptTokens < 0 || ask.OutputTokens < 0 || tokens < 0:
		return ReasonBadRequest
	case ask.Endpoint != a.options.Endpoint:
		return ReasonNotOwner
	case a.outOfService:
		return ReasonOutOfService
	case a.leaving:
		return ReasonLeaving
	case a.seen(ask.RequestID):
		return ReasonDuplicate
	case a.acquiring(now):
		return ReasonAcquiring
	case a.silent(now):
		return ReasonUnknown
	case ask.BudgetLeft <= 0 || a.prefillWait(now, use.queuedTokens+ask.PromptTokens) > ask.BudgetLeft:
		return ReasonBudget
	}
	return a.capacityRefusal(now, ask, tokens, use)
}

// capacityRefusal compares an ask with what is in use. Its refusals are demand that fair shares take into account.
func (a *Account) capacityRefusal(now time.Time, ask peer.CreditRequest, tokens int64, use usage) string {
	class := peer.ClassOf(ask.PromptTokens)
	if !a.limits.Plain && class == peer.ClassLong {
		if reason := a.longRefusal(now, ask.Team, use); reason != "" {
			return reason
		}
	}
	a.fair.team(now, ask.Team, use.teams[ask.Team].Streams == 0)
	reason := a.limitRefusal(class, tokens, use)
	if reason == "" && a.overShare(now, ask.Team, tokens, use) {
		reason = ReasonTeamShare
	}
	one := config.Limit{Streams: 1, Tokens: tokens}
	if reason != "" && a.limits.covers(a.limits.forClass(a.limit(), class), one) {
		a.fair.refused(now, ask.Team)
	}
	return reason
}

// longRefusal guards the places for long prefills, for which teams queue apart from the other capacity: a team that
// waits for a place must not keep others from memory that it could not use yet.
func (a *Account) longRefusal(now time.Time, team string, use usage) string {
	asking := a.fairLong.team(now, team, true)
	reason := ""
	switch {
	case use.longPrefills >= a.limits.LongPrefills:
		reason = ReasonLongPrefills
	case a.fairLong.behind(now, team, asking):
		reason = ReasonTeamShare
	}
	if reason != "" {
		a.fairLong.refused(now, team)
	}
	return reason
}

func (a *Account) limitRefusal(class peer.LengthClass, tokens int64, use usage) string {
	limit := a.limit()
	if reason := a.excess(limit, use.total, tokens); reason != "" {
		return reason
	}
	if class != peer.ClassShort {
		if reason := a.excess(a.limits.forClass(limit, class), use.longer, tokens); reason != "" {
			return reason
		}
	}
	if a.limits.Plain {
		return ""
	}
	return a.unconfirmedRefusal(class, tokens, use)
}

// unconfirmedRefusal bounds the work that the engine's latest report does not show by the cold limit, at every step. If
// the engine restarted right after that report, this is exactly the work that the cold engine gets, so that a restart
// that nobody has noticed yet cannot overload it.
func (a *Account) unconfirmedRefusal(class peer.LengthClass, tokens int64, use usage) string {
	cold := a.limits.at(0)
	charge := a.unconfirmedCharge(class, tokens)
	if a.excess(cold, use.unconfirmed, charge) != "" {
		return ReasonUnconfirmed
	}
	if class != peer.ClassShort && a.excess(a.limits.forClass(cold, class), use.unconfirmedLonger, charge) != "" {
		return ReasonUnconfirmed
	}
	return ""
}

// excess returns the reason why one more stream with the given tokens does not fit the limit, or "".
func (a *Account) excess(limit, used config.Limit, tokens int64) string {
	warm := a.ramp.step == a.limits.top()
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

func (a *Account) seen(id string) bool {
	_, ended := a.ended[id]
	return ended || a.holds[id] != nil
}

const (
	leastRetry = 100 * time.Millisecond
	// mostCapacityRetry stays below demandLife.
	mostCapacityRetry = 500 * time.Millisecond
	mostRetry         = 5 * time.Second
	unknownRetry      = time.Second
)

// retryAfter estimates when an ask could be granted; 0 means that a retry at this endpoint cannot help soon.
func (a *Account) retryAfter(now time.Time, reason string, use usage) time.Duration {
	queue := a.prefillWait(now, use.queuedTokens)
	switch reason {
	case ReasonAcquiring:
		return clamp(a.options.AcquiredAt.Add(usableFor).Sub(now), leastRetry, mostRetry)
	case ReasonUnknown:
		return unknownRetry
	case ReasonBudget:
		return clamp(queue, leastRetry, mostRetry)
	case ReasonColdLimit, ReasonUnconfirmed, ReasonMemory, ReasonStreams, ReasonLongPrefills, ReasonTeamShare:
		return clamp(queue, leastRetry, mostCapacityRetry)
	default:
		return 0
	}
}

func clamp(d, least, most time.Duration) time.Duration { return min(max(d, least), most) }

// phaseDone tells whether a listed stream is past its prefill.
func phaseDone(phase engine.Phase) bool {
	return phase == engine.PhaseDecode || phase == engine.PhaseExported
}

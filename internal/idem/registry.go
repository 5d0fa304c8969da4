package idem

import (
	"container/list"
	"time"

	"github.com/acacialift/acacialift/internal/peer"
)

const (
	// Lifetime is the time for which a key is remembered after its first claim, and the maximum age of its label.
	Lifetime = 10 * time.Minute

	// GatewayTimeout is the time without contact with a gateway after which the outcome of its claims is unknown.
	GatewayTimeout = 5 * time.Second

	// RetryAfter is the suggested delay after a refusal if it is unknown how long its cause lasts.
	RetryAfter = time.Second
)

// The reasons in a KeyReply.
const (
	// ReasonInvalidKey: the key is not a UUIDv7 or LabelMS is not its label.
	ReasonInvalidKey = "invalid_key"
	// ReasonNotHome: the slot's lease is not held.
	ReasonNotHome = "not_home"
	// ReasonLabelAhead: the label is not below the end of the lease's interval.
	ReasonLabelAhead = "label_ahead"
	// ReasonLabelBefore: the label is before the lease's interval, so an earlier home may have accepted the key.
	ReasonLabelBefore = "label_before"
	// ReasonExpired: the label is older than the key's lifetime.
	ReasonExpired = "expired"
	// ReasonFull: the registry holds MaxKeys keys.
	ReasonFull = "full"
	// ReasonGatewayLost: the gateway that claimed the key was restarted, or did not send a message within GatewayTimeout.
	ReasonGatewayLost = "gateway_silent"
	// ReasonStaleClaim: the request has already released its claim.
	ReasonStaleClaim = "stale_claim"
)

// Interval is the label interval [Start, End) of a lease, in wall-clock milliseconds.
type Interval struct {
	Start int64
	End   int64
}

// Gateway identifies one run of a gateway.
type Gateway struct {
	Name        string
	Incarnation int64
}

// Options configures a registry.
type Options struct {
	// MaxKeys is the maximum number of remembered keys.
	MaxKeys int
}

type entryState uint8

const (
	stateRunning entryState = iota
	stateEnded
	stateReleased
)

// entryID identifies a key; keys of different services are independent.
type entryID struct {
	service string
	key     string
}

// entry is a remembered key.
type entry struct {
	id        entryID
	labelMS   int64
	claimedAt time.Time
	digest    uint64
	state     entryState
	token     uint64
	gateway   Gateway
	requestID string
	outcome   string
	status    int
}

// contact is the last message from a gateway.
type contact struct {
	incarnation int64
	at          time.Time
}

// Registry remembers the keys that one incarnation of a home accepted. It is kept for the lifetime of the process, because
// a key that was accepted before a lease was lost must still be known when the lease is acquired again.
type Registry struct {
	options Options
	entries map[entryID]*list.Element
	// byClaimTime holds *entry values in the order of their first claims.
	byClaimTime *list.List
	lastToken   uint64
	contacts    map[string]contact
	// minLabelMS is above the label of every expired key. A new key with a lower label is not granted, even if the wall
	// clock was set back.
	minLabelMS int64
}

// NewRegistry returns an empty registry.
func NewRegistry(options Options) *Registry {
	return &Registry{
		options:     options,
		entries:     make(map[entryID]*list.Element),
		byClaimTime: list.New(),
		contacts:    make(map[string]contact),
	}
}

// Len returns the number of remembered keys.
func (r *Registry) Len() int { return r.byClaimTime.Len() }

// RecordContact records that a message from a gateway has arrived. A higher incarnation proves that the earlier ones ended.
func (r *Registry) RecordContact(now time.Time, gateway Gateway) {
	last, known := r.contacts[gateway.Name]
	if known && gateway.Incarnation < last.incarnation {
		return
	}
	r.contacts[gateway.Name] = contact{incarnation: gateway.Incarnation, at: now}
}

// Claim decides whether a request that arrived at a gateway may run. The interval is the label interval of the lease on the
// key's slot; holds states whether the lease is held now. For a known key, the state in the registry decides. A new key is
// granted only if the lease is held and the key's label is inside the interval.
func (r *Registry) Claim(
	now time.Time, wallMS int64, gateway Gateway, claim *peer.KeyClaim, interval Interval, holds bool,
) peer.KeyReply {
	r.RecordContact(now, gateway)
	r.Expire(now)
	key, err := ParseKey(claim.Key)
	if err != nil || key.LabelMS != claim.LabelMS {
		return refused(ReasonInvalidKey, 0)
	}
	id := entryID{service: claim.Service, key: key.Text}
	if element := r.entries[id]; element != nil {
		return r.claimKnown(now, gateway, claim, element.Value.(*entry), holds)
	}
	if reply, refuse := r.checkNewKey(wallMS, key, interval, holds); refuse {
		return reply
	}
	e := &entry{id: id, labelMS: key.LabelMS, claimedAt: now, digest: claim.Digest}
	r.entries[id] = r.byClaimTime.PushBack(e)
	return r.grant(gateway, claim, e)
}

// checkNewKey returns true with the reply if a key that is not in the registry must not be granted.
func (r *Registry) checkNewKey(wallMS int64, key Key, interval Interval, holds bool) (peer.KeyReply, bool) {
	switch {
	case key.LabelMS < r.minLabelMS || wallMS-key.LabelMS >= Lifetime.Milliseconds():
		return unknown(ReasonExpired), true
	case !holds:
		return refused(ReasonNotHome, RetryAfter), true
	case key.LabelMS < interval.Start:
		return unknown(ReasonLabelBefore), true
	case key.LabelMS >= interval.End:
		return refused(ReasonLabelAhead, retryAfterLabel(key.LabelMS, interval.End)), true
	case r.byClaimTime.Len() >= r.options.MaxKeys:
		return refused(ReasonFull, RetryAfter), true
	}
	return peer.KeyReply{}, false
}

// retryAfterLabel returns the time until the interval's end, which advances with the wall clock, passes the label. It is at
// most Lifetime.
func retryAfterLabel(labelMS, endMS int64) time.Duration {
	if labelMS-endMS >= Lifetime.Milliseconds() {
		return Lifetime
	}
	return max(RetryAfter, time.Duration(labelMS-endMS+1)*time.Millisecond)
}

// claimKnown decides on a request whose key is in the registry.
func (r *Registry) claimKnown(
	now time.Time, gateway Gateway, claim *peer.KeyClaim, e *entry, holds bool,
) peer.KeyReply {
	if claim.Digest != e.digest {
		return peer.KeyReply{Verdict: peer.KeyMismatch}
	}
	sameRequest := e.gateway == gateway && e.requestID == claim.RequestID
	switch e.state {
	case stateEnded:
		return peer.KeyReply{Verdict: peer.KeyEnded, Outcome: e.outcome, Status: e.status}
	case stateReleased:
		if sameRequest {
			return refused(ReasonStaleClaim, RetryAfter)
		}
		if !holds {
			return refused(ReasonNotHome, RetryAfter)
		}
		return r.grant(gateway, claim, e)
	}
	if sameRequest {
		// The gateway sends its claim again after a lost reply. Granting it again is safe, because the gateway dispatches a
		// request at most once.
		return peer.KeyReply{Verdict: peer.KeyGranted, Token: e.token}
	}
	if !r.isLive(now, e.gateway) {
		return unknown(ReasonGatewayLost)
	}
	return peer.KeyReply{Verdict: peer.KeyRunning}
}

// grant assigns the key to a request with a new token.
func (r *Registry) grant(gateway Gateway, claim *peer.KeyClaim, e *entry) peer.KeyReply {
	r.lastToken++
	e.state, e.token = stateRunning, r.lastToken
	e.gateway, e.requestID = gateway, claim.RequestID
	return peer.KeyReply{Verdict: peer.KeyGranted, Token: e.token}
}

// isLive reports whether a message of the gateway arrived within GatewayTimeout and it has not been restarted since.
func (r *Registry) isLive(now time.Time, gateway Gateway) bool {
	last := r.contacts[gateway.Name]
	return last.incarnation == gateway.Incarnation && now.Sub(last.at) < GatewayTimeout
}

// End applies the report that a claimed request ended. It returns false, and changes nothing, unless the request is running
// and the token belongs to its current claim. A report after GatewayTimeout is accepted too: only the gateway that got the
// token knows the outcome.
func (r *Registry) End(end *peer.KeyEnd) bool {
	key, err := ParseKey(end.Key)
	if err != nil {
		return false
	}
	element := r.entries[entryID{service: end.Service, key: key.Text}]
	if element == nil {
		return false
	}
	e := element.Value.(*entry)
	if e.token != end.Token || e.state != stateRunning {
		return false
	}
	if end.NotRun {
		e.state = stateReleased
		return true
	}
	e.state, e.outcome, e.status = stateEnded, end.Outcome, end.Status
	return true
}

// Expire removes the keys that were first claimed a Lifetime ago. If there are any, it also removes the contacts that no
// remaining claim can depend on.
func (r *Registry) Expire(now time.Time) {
	expired := false
	for front := r.byClaimTime.Front(); front != nil; front = r.byClaimTime.Front() {
		e := front.Value.(*entry)
		if now.Sub(e.claimedAt) < Lifetime {
			break
		}
		r.minLabelMS = max(r.minLabelMS, e.labelMS+1)
		delete(r.entries, e.id)
		r.byClaimTime.Remove(front)
		expired = true
	}
	if !expired {
		return
	}
	for name, last := range r.contacts {
		if now.Sub(last.at) >= Lifetime {
			delete(r.contacts, name)
		}
	}
}

func refused(reason string, retryAfter time.Duration) peer.KeyReply {
	return peer.KeyReply{Verdict: peer.KeyRefused, Reason: reason, RetryAfter: retryAfter}
}

func unknown(reason string) peer.KeyReply {
	return peer.KeyReply{Verdict: peer.KeyUnknown, Reason: reason}
}

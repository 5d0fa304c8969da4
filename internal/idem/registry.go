package idem

import (
	"container/list"
	"time"

	"github.com/acacialift/acacialift/internal/peer"
)

const (
	// Lifetime is how long a key is remembered after its first claim, and how old its label may be.
	Lifetime = 10 * time.Minute

	// GatewayTimeout is the time without contact after which claims of a gateway are answered unknown.
	GatewayTimeout = 5 * time.Second

	// RetryAfter is the delay suggested with refusals whose end is not known.
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
	// ReasonFull: the registry cannot remember another key.
	ReasonFull = "full"
	// ReasonGateway: the gateway that claimed the key is dead or silent.
	ReasonGateway = "gateway_silent"
	// ReasonStaleClaim: the arrival has already released its claim.
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

// Options bounds a registry.
type Options struct {
	// MaxKeys is the largest number of remembered keys.
	MaxKeys int
}

type entryState uint8

const (
	stateRunning entryState = iota
	stateEnded
	stateReleased
)

// entryID names a key; keys of different services are independent.
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

// contact is the latest sign of life of a gateway.
type contact struct {
	incarnation int64
	at          time.Time
}

// Registry remembers the keys that one incarnation of a home accepted. It lives as long as the process, so that a key
// accepted before a lease was lost and acquired again is still known.
type Registry struct {
	options Options
	entries map[entryID]*list.Element
	// order holds *entry by first claim.
	order     *list.List
	lastToken uint64
	contacts  map[string]contact
	// forgottenMS is above the label of each key that was forgotten. Older labels are not accepted again, even if the
	// wall clock was set back.
	forgottenMS int64
}

// NewRegistry returns an empty registry.
func NewRegistry(options Options) *Registry {
	return &Registry{
		options:  options,
		entries:  make(map[entryID]*list.Element),
		order:    list.New(),
		contacts: make(map[string]contact),
	}
}

// Len returns the number of remembered keys.
func (r *Registry) Len() int { return r.order.Len() }

// RecordContact records that a message of a gateway has arrived. A higher incarnation proves that earlier ones are dead.
func (r *Registry) RecordContact(now time.Time, gateway Gateway) {
	last, known := r.contacts[gateway.Name]
	if known && gateway.Incarnation < last.incarnation {
		return
	}
	r.contacts[gateway.Name] = contact{incarnation: gateway.Incarnation, at: now}
}

// Claim decides on one arrival at a gateway. The interval is that of the lease on the key's slot; holds tells whether
// the lease is held now. A key in the registry is answered from there. A new one is granted only if the lease is held
// and its label is inside the interval.
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
		return r.repeat(now, gateway, claim, element.Value.(*entry), holds)
	}
	if reply, refuse := r.refusal(wallMS, key, interval, holds); refuse {
		return reply
	}
	e := &entry{id: id, labelMS: key.LabelMS, claimedAt: now, digest: claim.Digest}
	r.entries[id] = r.order.PushBack(e)
	return r.grant(gateway, claim, e)
}

// refusal decides on a key that is not in the registry.
func (r *Registry) refusal(wallMS int64, key Key, interval Interval, holds bool) (peer.KeyReply, bool) {
	switch {
	case key.LabelMS < r.forgottenMS || wallMS-key.LabelMS >= Lifetime.Milliseconds():
		return unknown(ReasonExpired), true
	case !holds:
		return refused(ReasonNotHome, RetryAfter), true
	case key.LabelMS < interval.Start:
		return unknown(ReasonLabelBefore), true
	case key.LabelMS >= interval.End:
		return refused(ReasonLabelAhead, retryAfterLabel(key.LabelMS, interval.End)), true
	case r.order.Len() >= r.options.MaxKeys:
		return refused(ReasonFull, RetryAfter), true
	}
	return peer.KeyReply{}, false
}

// retryAfterLabel returns the time until the interval's end, which follows the wall clock, passes the label. A label
// far ahead gets the key's lifetime.
func retryAfterLabel(labelMS, endMS int64) time.Duration {
	if labelMS-endMS >= Lifetime.Milliseconds() {
		return Lifetime
	}
	return max(RetryAfter, time.Duration(labelMS-endMS+1)*time.Millisecond)
}

// repeat decides on a key in the registry.
func (r *Registry) repeat(
	now time.Time, gateway Gateway, claim *peer.KeyClaim, e *entry, holds bool,
) peer.KeyReply {
	if claim.Digest != e.digest {
		return peer.KeyReply{Verdict: peer.KeyMismatch}
	}
	sameArrival := e.gateway == gateway && e.requestID == claim.RequestID
	switch e.state {
	case stateEnded:
		return peer.KeyReply{Verdict: peer.KeyEnded, Outcome: e.outcome, Status: e.status}
	case stateReleased:
		if sameArrival {
			return refused(ReasonStaleClaim, RetryAfter)
		}
		if !holds {
			return refused(ReasonNotHome, RetryAfter)
		}
		return r.grant(gateway, claim, e)
	}
	if sameArrival {
		// The gateway repeats its claim after a lost reply; it hands an arrival to an endpoint at most once.
		return peer.KeyReply{Verdict: peer.KeyGranted, Token: e.token}
	}
	if !r.alive(now, e.gateway) {
		return unknown(ReasonGateway)
	}
	return peer.KeyReply{Verdict: peer.KeyRunning}
}

// grant gives the key to one arrival.
func (r *Registry) grant(gateway Gateway, claim *peer.KeyClaim, e *entry) peer.KeyReply {
	r.lastToken++
	e.state, e.token = stateRunning, r.lastToken
	e.gateway, e.requestID = gateway, claim.RequestID
	return peer.KeyReply{Verdict: peer.KeyGranted, Token: e.token}
}

// alive reports whether a message of the gateway arrived within GatewayTimeout and it has not been restarted since.
func (r *Registry) alive(now time.Time, gateway Gateway) bool {
	last := r.contacts[gateway.Name]
	return last.incarnation == gateway.Incarnation && now.Sub(last.at) < GatewayTimeout
}

// End takes the end of a claimed request and tells whether the token was that of the present claim. The first report
// counts. A report of a gateway that had been silent counts too: only the holder of the token knows what happened.
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

// Expire forgets the keys that were first claimed a Lifetime ago, and contacts that can no longer matter.
func (r *Registry) Expire(now time.Time) {
	expired := false
	for front := r.order.Front(); front != nil; front = r.order.Front() {
		e := front.Value.(*entry)
		if now.Sub(e.claimedAt) < Lifetime {
			break
		}
		r.forgottenMS = max(r.forgottenMS, e.labelMS+1)
		delete(r.entries, e.id)
		r.order.Remove(front)
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

package peer

import "time"

// KeyClaim requests permission from the home of an idempotency key, the instance that owns the key's slot, to run the
// request.
type KeyClaim struct {
	Service string
	Key     string
	// LabelMS is the issue time in the key, in wall-clock milliseconds.
	LabelMS int64
	// Digest is a hash of method, path and body; a claim with a different digest under the same key is refused.
	Digest    uint64
	RequestID string
}

// KeyVerdict is the decision of a key's home on a KeyClaim.
type KeyVerdict string

// The verdicts on an idempotency key.
const (
	KeyGranted  KeyVerdict = "granted"
	KeyRunning  KeyVerdict = "running"
	KeyEnded    KeyVerdict = "ended"
	KeyUnknown  KeyVerdict = "unknown"
	KeyRefused  KeyVerdict = "refused"
	KeyMismatch KeyVerdict = "mismatch"
)

// KeyReply is the reply to a KeyClaim.
type KeyReply struct {
	Verdict KeyVerdict
	// Token identifies the claim in KeyEnd; it is set if Verdict is KeyGranted.
	Token uint64
	// Outcome and Status are set if Verdict is KeyEnded. Outcome is empty if the response came from the endpoint.
	Outcome string
	Status  int
	// RetryAfter is set if Verdict is KeyRefused.
	RetryAfter time.Duration
	Reason     string
}

// KeyEnd reports the end of a claimed request to the key's home.
type KeyEnd struct {
	Service string
	Key     string
	Token   uint64
	// NotRun is true if certainly no byte of the request was sent to an endpoint; the key may then be claimed again.
	NotRun  bool
	Outcome string
	Status  int
}

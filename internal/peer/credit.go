package peer

import "time"

// LengthClass groups prompts by their number of tokens.
type LengthClass string

// The length classes: short up to 8 k tokens, medium up to 100 k, long above.
const (
	ClassShort  LengthClass = "short"
	ClassMedium LengthClass = "medium"
	ClassLong   LengthClass = "long"
)

// CreditRequest requests one reservation from an endpoint's owner.
type CreditRequest struct {
	RequestID string
	Endpoint  string
	Team      string
	Profile   string
	Class     LengthClass
	// PromptTokens and OutputTokens are reserved together in the engine's memory.
	PromptTokens int64
	OutputTokens int64
	// Revision is the configuration revision under which the request was admitted.
	Revision uint64
	// BudgetLeft is the remaining time of the request.
	BudgetLeft time.Duration
	// Group is true if the reservation is one member of a group.
	Group bool
}

// CreditReply is the reply to a CreditRequest.
type CreditReply struct {
	Granted bool
	// Reason is set on a refusal, such as "not_owner", "cold_limit", "memory", "streams", "long_prefills",
	// "team_share", "budget", "out_of_service" or "leaving"; package credit lists all.
	Reason string
	// ValidFor is the time from the moment the gateway sent the request until the credit expires.
	ValidFor time.Duration
	// Fence is the owner's fencing number, passed on to the engine.
	Fence int64
	// RetryAfter is the owner's estimate of the time until a request could be granted.
	RetryAfter time.Duration
	Summary    EndpointSummary
}

// ReportState is the progress of a reservation.
type ReportState string

// The states of a reservation as the gateway reports them.
const (
	ReportUnused  ReportState = "unused"
	ReportStarted ReportState = "started"
	ReportPrefill ReportState = "prefill_done"
	ReportDone    ReportState = "done"
	ReportFailed  ReportState = "failed"
	ReportHeld    ReportState = "held"
	// ReportCancelled means that the gateway ended the stream itself, for instance because its caller disconnected. It is
	// no failure of the endpoint, but the engine may still run the stream.
	ReportCancelled ReportState = "cancelled"
)

// CreditReportItem reports one reservation.
type CreditReportItem struct {
	RequestID    string
	Endpoint     string
	State        ReportState
	Class        LengthClass
	Team         string
	PromptTokens int64
	OutputTokens int64
	// FirstToken is the time from dispatch to the first event; 0 if no event arrived.
	FirstToken time.Duration
}

// CreditReport is sent by a gateway to an owner when a reservation changes, and once per second for held
// reservations.
type CreditReport struct {
	Gateway     string
	Incarnation int64
	Items       []CreditReportItem
}

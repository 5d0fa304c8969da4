// Package lease decides who may act on a resource: voters promise it to one holder at a time, and a holder acts only
// while a quorum of voters promised. Nothing is stored; docs/leases.md gives the argument and its assumptions.
//
// The types are pure and not safe for concurrent use. Each function takes the monotonic time now and, where key labels
// are involved, the wall clock in milliseconds.
package lease

import "time"

const (
	// LeaseLength is how long a holder may act after it sent the claims that a quorum promised.
	LeaseLength = 2 * time.Second

	// RenewEvery is the time between two claims of a holder for the same resource.
	RenewEvery = 500 * time.Millisecond

	// ClockRatePercent is the largest difference between the rates of two monotonic clocks.
	ClockRatePercent = 5

	// PromiseLength is how long a voter keeps a promise. It exceeds LeaseLength because the voter's clock may run faster
	// than the holder's.
	PromiseLength = LeaseLength * (100 + ClockRatePercent) / 100

	// ListLagBound is the longest time until a new instance list or configuration revision reaches every live voter.
	ListLagBound = 2 * time.Second

	// VoterHoldOff is how long a new voter promises nothing. A voter that still has the previous list may promise until
	// ListLagBound has passed, and a lease it promised then lasts LeaseLength longer, so the two add up.
	VoterHoldOff = (LeaseLength + ListLagBound) * (100 + ClockRatePercent) / 100

	// CreditLength is how long a credit lasts on the gateway's clock from the moment the gateway asked for it.
	CreditLength = time.Second

	// WaitBeforeGrant is how long a new owner of an endpoint grants nothing. It exceeds CreditLength because the owner's
	// clock may run faster than that of a gateway with a credit of the previous owner.
	WaitBeforeGrant = CreditLength * (100 + ClockRatePercent) / 100

	// LabelLength is how far ahead of its wall clock a holder asks for key labels.
	LabelLength = 2 * time.Second

	// MaxClockSkew is the largest difference between the wall clocks of two instances.
	MaxClockSkew = 5 * time.Second

	// LabelFloor is how far ahead of its wall clock a voter without memory of a key slot assumes that labels were
	// promised. An earlier voter may promise labels until ListLagBound after this one took its place.
	LabelFloor = LabelLength + MaxClockSkew + ListLagBound

	// MaxVoters is the largest number of voters of a resource.
	MaxVoters = 6

	// votersPerDomain is the number of voters of a failure domain if enough domains are present.
	votersPerDomain = 2

	// KeySlots is the number of key slots of a plain service.
	KeySlots = 64

	// batchWindow is how much earlier than due a claim is sent with others that are due.
	batchWindow = 100 * time.Millisecond

	// sequenceBits leaves room below the incarnation in the sequence numbers of claims, so that a late answer to an
	// earlier run of the instance matches no claim of the present one.
	sequenceBits = 20

	// backoffUnit and backoffSteps bound the delay before a holder claims again after a split vote.
	backoffUnit  = 125 * time.Millisecond
	backoffSteps = 8
)

// Package lease implements leases by quorum. Each voter promises a resource to one holder at a time, and a holder acts on
// the resource only while it has the promises of a quorum. Nothing is stored on disk; docs/leases.md contains the proof and
// its assumptions.
//
// The types do no I/O and are not safe for concurrent use. Functions take the monotonic time now and, for key labels, the
// wall clock in milliseconds.
package lease

import "time"

const (
	// LeaseLength is how long a holder may act after it sent the claims that a quorum granted.
	LeaseLength = 2 * time.Second

	// RenewEvery is the time between two claims of a holder for the same resource.
	RenewEvery = 500 * time.Millisecond

	// ClockRatePercent is the largest difference between the rates of two monotonic clocks, in percent.
	ClockRatePercent = 5

	// PromiseLength is how long a voter keeps a promise. It exceeds LeaseLength because the voter's clock may run faster
	// than the holder's.
	PromiseLength = LeaseLength * (100 + ClockRatePercent) / 100

	// ListLagBound is the longest time until every live voter has a new instance list or configuration revision.
	ListLagBound = 2 * time.Second

	// VoterHoldOff is how long a new voter promises nothing. A voter that still has the previous list may make promises
	// until ListLagBound has passed, and a lease from the last of them lasts LeaseLength longer.
	VoterHoldOff = (LeaseLength + ListLagBound) * (100 + ClockRatePercent) / 100

	// CreditLength is how long a credit is valid on the gateway's clock, from the time at which the gateway requested it.
	CreditLength = time.Second

	// WaitBeforeGrant is how long a new owner of an endpoint grants no credits. It exceeds CreditLength because the owner's
	// clock may run faster than that of a gateway that has a credit of the previous owner.
	WaitBeforeGrant = CreditLength * (100 + ClockRatePercent) / 100

	// LabelLength is how far ahead of its wall clock a holder claims key labels.
	LabelLength = 2 * time.Second

	// MaxClockSkew is the largest difference between the wall clocks of two instances.
	MaxClockSkew = 5 * time.Second

	// LabelFloor is added to the wall clock of a voter that has no record of earlier promises for a key slot. The voter
	// assumes that all labels up to the sum have been promised. The terms are how far ahead a holder claims labels, the
	// clock skew, and the time for which the voter that it replaced may still promise labels.
	LabelFloor = LabelLength + MaxClockSkew + ListLagBound

	// MaxVoters is the largest number of voters of a resource.
	MaxVoters = 6

	// votersPerDomain is the number of voters per failure domain if there are enough domains.
	votersPerDomain = 2

	// KeySlots is the number of key slots of a plain service.
	KeySlots = 64

	// batchWindow is how much earlier than its renewal time a claim may be sent together with others that are due.
	batchWindow = 100 * time.Millisecond

	// sequenceBits is the number of low bits in the sequence number of a claim that count claims; the bits above are the
	// incarnation. A late promise for a claim of an earlier process thus matches no claim of the current one.
	sequenceBits = 20

	// backoffUnit and backoffSteps define the delay before a holder claims again after a split vote: 1 to backoffSteps
	// times backoffUnit.
	backoffUnit  = 125 * time.Millisecond
	backoffSteps = 8
)

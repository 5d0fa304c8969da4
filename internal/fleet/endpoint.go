package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is one incarnation of a back end: one run of its process, from its start to its end.
type Endpoint struct {
	// ID and Started together name the incarnation, because a back end may restart under its earlier id.
	ID      string
	Started int64
	Service string
	// Address is IP:port. Another endpoint may use it after this one has ended.
	Address string
	Domain  string
	Slots   int
	// Leaving endpoints get no new requests.
	Leaving bool
	// ColdUntil is the end of the cold start, on the clock of this instance.
	ColdUntil time.Time
}

// IsCold reports whether the endpoint is in cold start.
func (e *Endpoint) IsCold(now time.Time) bool { return now.Before(e.ColdUntil) }

// asLeaving returns a copy of the endpoint with Leaving set.
func (e *Endpoint) asLeaving() *Endpoint {
	copied := *e
	copied.Leaving = true
	return &copied
}

// Key is a hash that identifies the incarnation in messages between instances. About one in 25,000 of the largest fleets
// has two endpoints with the same key. The counts of these two endpoints are then added up.
func (e *Endpoint) Key() uint32 {
	return fold(xxhash.Sum64String(e.ID) + uint64(e.Started)*startedFactor)
}

// startedFactor spreads the start times over all bits.
const startedFactor = 0x9e3779b97f4a7c15

func fold(hash uint64) uint32 { return uint32(hash ^ hash>>32) }

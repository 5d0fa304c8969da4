package fleet

import (
	"hash/fnv"
	"time"
)

// Endpoint is one incarnation of a back end.
type Endpoint struct {
	// ID names the incarnation together with Started; a back end may start again under its earlier id.
	ID      string
	Started int64
	Service string
	// Address is IP:port. It may be used by another endpoint after this one has ended.
	Address string
	Domain  string
	Slots   int
	// Leaving endpoints get no new requests.
	Leaving bool
	// ColdUntil is the end of the cold start, on the clock of the reader.
	ColdUntil time.Time
}

// IsCold reports whether the endpoint is in cold start.
func (e *Endpoint) IsCold(now time.Time) bool { return now.Before(e.ColdUntil) }

// Key identifies the incarnation in messages between instances.
func (e *Endpoint) Key() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(e.ID))
	for shift := 0; shift < 64; shift += 8 {
		_, _ = h.Write([]byte{byte(e.Started >> shift)})
	}
	return h.Sum64()
}

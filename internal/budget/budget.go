// Package budget bounds the memory that many holders share.
package budget

import "sync/atomic"

// Budget is a number of bytes of which holders reserve parts. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a budget of a number of bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve takes n bytes and reports whether they were left.
func (b *Budget) Reserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// Release gives n reserved bytes back.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

// Limit returns the number of bytes that can be reserved in all.
func (b *Budget) Limit() int64 { return b.limit }

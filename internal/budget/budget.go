// Package budget bounds the total memory that concurrent operations, such as requests, reserve.
package budget

import "sync/atomic"

// Budget is a limit on the total number of bytes reserved at a time. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a budget with a limit in bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve reserves n bytes and returns true if the budget has that many bytes left; otherwise it reserves nothing.
func (b *Budget) Reserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// Release releases n reserved bytes.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

// Limit returns the limit in bytes.
func (b *Budget) Limit() int64 { return b.limit }

package httpserver

import (
	"bytes"
	"sync/atomic"
)

// budget bounds the body bytes that all connections hold.
type budget struct {
	limit int64
	used  atomic.Int64
}

// reserve takes n bytes and reports whether they were left.
func (b *budget) reserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *budget) release(n int64) { b.used.Add(-n) }

// Body is the whole body of a request; http.Request.Body of this server is a *Body.
type Body struct {
	bytes.Reader
	data []byte
}

func newBody(data []byte) *Body {
	b := &Body{data: data}
	b.Reset(data)
	return b
}

// Bytes returns the whole body without copying it. The caller must not change it. It stays valid after the handler
// ended, but no longer counts against the server's budget then.
func (b *Body) Bytes() []byte { return b.data }

// Close implements io.Closer.
func (b *Body) Close() error { return nil }

package httpserver

import "bytes"

// Body is the complete body of a request. The Body field of requests that this server passes to its handler is a *Body.
type Body struct {
	bytes.Reader
	data []byte
}

func newBody(data []byte) *Body {
	b := &Body{data: data}
	b.Reset(data)
	return b
}

// Bytes returns the complete body without copying it. The caller must not change it. It stays valid after the handler
// returned, but is no longer counted against the server's budget.
func (b *Body) Bytes() []byte { return b.data }

// Close implements io.Closer.
func (b *Body) Close() error { return nil }

package httpserver

import "bytes"

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

package wire

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
)

// LengthUnknown is the Length of a message without a declared length.
const LengthUnknown int64 = -1

// maxTrailerBytes bounds the trailer section after a chunked body.
const maxTrailerBytes = 4 << 10

// Framing describes how the end of a body is determined.
type Framing struct {
	// Length is the declared length in bytes, or LengthUnknown.
	Length int64
	// Chunked is true if the body is sent in chunks.
	Chunked bool
}

// NewBody returns a reader of the body that follows a head. Its Read returns io.EOF only after the complete body, and
// io.ErrUnexpectedEOF if the connection ends earlier. It never reads past the end of the message. A body that is neither
// chunked nor of declared length is empty.
func NewBody(r *bufio.Reader, framing Framing) io.Reader {
	if framing.Chunked {
		return &chunkedBody{source: r, chunks: httputil.NewChunkedReader(r)}
	}
	return &lengthBody{source: r, remaining: max(framing.Length, 0)}
}

// lengthBody reads a body of declared length.
type lengthBody struct {
	source    io.Reader
	remaining int64
}

func (b *lengthBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.source.Read(p)
	b.remaining -= int64(n)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody reads a chunked body and its trailer section, which net/http's chunked reader does not read.
type chunkedBody struct {
	source *bufio.Reader
	chunks io.Reader
	err    error
}

func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.readTrailer()
	}
	b.err = b.classify(err)
	return n, b.err
}

// classify converts the untyped syntax errors of net/http's chunked reader to a *MalformedError. Errors of the connection,
// which have the Timeout method of net.Error, are returned unchanged.
func (b *chunkedBody) classify(err error) error {
	var timeout interface{ Timeout() bool }
	switch {
	case err == nil, errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &timeout):
		return err
	}
	var malformedErr *MalformedError
	if errors.As(err, &malformedErr) {
		return err
	}
	return malformed("invalid chunk")
}

// readTrailer reads and drops the trailer section. It returns io.EOF after the empty line that ends the message.
func (b *chunkedBody) readTrailer() error {
	for total := 0; ; {
		line, err := b.source.ReadSlice('\n')
		total += len(line)
		switch {
		case errors.Is(err, bufio.ErrBufferFull), total > maxTrailerBytes:
			return malformed("trailer section exceeds the limit")
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case len(line) < 2 || line[len(line)-2] != '\r':
			return malformed("line does not end with CR LF")
		case len(line) == 2:
			return io.EOF
		}
		if _, _, err := splitHead(append([]byte("\r\n"), line[:len(line)-2]...)); err != nil {
			return err
		}
	}
}

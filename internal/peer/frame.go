package peer

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// MaxFrameBytes bounds the payload of one frame; a published value has at most 1 MB.
	MaxFrameBytes = 2 << 20
	// lengthBytes is the size of the big-endian length before each payload.
	lengthBytes = 4
	// maxKind is the highest known message kind.
	maxKind = KindPlaceCollect
	// minCompressedBytes is the size from which bodies are compressed. Configuration documents and full views shrink
	// to a tenth; the periodic messages are smaller and sent uncompressed.
	minCompressedBytes = 4 << 10
)

// Envelope is the payload of one frame.
type Envelope struct {
	Kind Kind
	// Seq links a reply to its request; 0 marks a message without reply.
	Seq uint64
	// Reply is true for replies.
	Reply bool
	Body  msgpack.RawMessage
	// Compressed is true on the wire if Body is compressed with DEFLATE; it is false in received envelopes.
	Compressed bool
	// Extension follows the envelope in the payload; it may be empty.
	Extension msgpack.RawMessage `msgpack:"-"`
	// Deferral lets the handler of a received message reply later; nil if the message expects no reply.
	Deferral Deferral `msgpack:"-"`
}

// Extended is implemented by bodies with fields that earlier versions do not know. Structs are encoded as arrays, and a receiver
// refuses an array of another length, so that a field can be added to a struct only if no earlier version receives it. An extension
// is encoded with its field names after the envelope, where earlier versions ignore it.
type Extended interface {
	// Extended returns a pointer to the extension.
	Extended() any
}

// FrameError reports bytes that are not a valid frame. The connection is unusable afterwards.
type FrameError struct {
	// Code is "oversize", "malformed" or "unknown_kind".
	Code   string
	Detail string
}

// Error implements the error interface.
func (e *FrameError) Error() string { return "peer frame " + e.Code + ": " + e.Detail }

// encodeBody encodes structs as arrays, because field names would take bytes.
func encodeBody(body any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(body); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// EncodeFrame returns the bytes of one message on the wire.
func EncodeFrame(kind Kind, seq uint64, reply bool, body any) ([]byte, error) {
	encodedBody, err := encodeBody(body)
	if err != nil {
		return nil, err
	}
	envelope := Envelope{Kind: kind, Seq: seq, Reply: reply, Body: encodedBody}
	if len(encodedBody) >= minCompressedBytes && !skipsCompression(body) {
		if envelope.Body, err = compress(encodedBody); err != nil {
			return nil, err
		}
		envelope.Compressed = true
	}
	payload, err := encodeBody(envelope)
	if err != nil {
		return nil, err
	}
	if extended, ok := body.(Extended); ok {
		extension, err := msgpack.Marshal(extended.Extended())
		if err != nil {
			return nil, err
		}
		payload = append(payload, extension...)
	}
	if len(payload) > MaxFrameBytes {
		return nil, &FrameError{Code: "oversize", Detail: fmt.Sprintf("%d bytes", len(payload))}
	}
	frame := make([]byte, lengthBytes, lengthBytes+len(payload))
	binary.BigEndian.PutUint32(frame, uint32(len(payload)))
	return append(frame, payload...), nil
}

// Decode decodes the body of an envelope into a message struct.
func (e *Envelope) Decode(into any) error {
	for _, encoded := range [][]byte{e.Body, e.Extension} {
		if err := checkShape(encoded); err != nil {
			return err
		}
	}
	if err := msgpack.Unmarshal(e.Body, into); err != nil {
		return &FrameError{Code: "malformed", Detail: err.Error()}
	}
	extended, ok := into.(Extended)
	if !ok || len(e.Extension) == 0 {
		return nil
	}
	if err := msgpack.Unmarshal(e.Extension, extended.Extended()); err != nil {
		return &FrameError{Code: "malformed", Detail: err.Error()}
	}
	return nil
}

// Decoder splits a byte stream into envelopes. The zero value is ready for use.
type Decoder struct {
	buffered []byte
}

// Feed adds received bytes and returns the envelopes that are complete.
func (d *Decoder) Feed(data []byte) ([]Envelope, error) {
	d.buffered = append(d.buffered, data...)
	var envelopes []Envelope
	for len(d.buffered) >= lengthBytes {
		length := binary.BigEndian.Uint32(d.buffered)
		if length > MaxFrameBytes {
			return envelopes, &FrameError{Code: "oversize", Detail: fmt.Sprintf("%d bytes announced", length)}
		}
		end := lengthBytes + int(length)
		if len(d.buffered) < end {
			break
		}
		envelope, err := decodePayload(d.buffered[lengthBytes:end])
		if err != nil {
			return envelopes, err
		}
		envelopes = append(envelopes, envelope)
		d.buffered = d.buffered[end:]
	}
	d.shrink()
	return envelopes, nil
}

// shrink copies the remaining bytes to release the memory of a large frame.
func (d *Decoder) shrink() {
	if len(d.buffered) == 0 {
		d.buffered = nil
		return
	}
	d.buffered = append([]byte(nil), d.buffered...)
}

func decodePayload(payload []byte) (Envelope, error) {
	if err := checkShape(payload); err != nil {
		return Envelope{}, err
	}
	var envelope Envelope
	reader := bytes.NewReader(payload)
	decoder := msgpack.GetDecoder()
	defer msgpack.PutDecoder(decoder)
	decoder.Reset(reader)
	if err := decoder.Decode(&envelope); err != nil {
		return Envelope{}, &FrameError{Code: "malformed", Detail: err.Error()}
	}
	envelope.Extension = payload[len(payload)-reader.Len():]
	if envelope.Compressed {
		body, err := decompress(envelope.Body)
		if err != nil {
			return Envelope{}, err
		}
		envelope.Body, envelope.Compressed = body, false
	}
	if envelope.Kind == 0 || envelope.Kind > maxKind {
		return Envelope{}, &FrameError{Code: "unknown_kind", Detail: fmt.Sprintf("kind %d", envelope.Kind)}
	}
	return envelope, nil
}

// Incompressible is implemented by bodies that may be sent uncompressed, because compression hardly shrinks them.
type Incompressible interface {
	// SkipsCompression reports whether the body is sent uncompressed.
	SkipsCompression() bool
}

func skipsCompression(body any) bool {
	marked, ok := body.(Incompressible)
	return ok && marked.SkipsCompression()
}

// compress compresses a body. The result is encoded as one binary value, because the envelope must remain valid
// msgpack.
func compress(body []byte) (msgpack.RawMessage, error) {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(body); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return encodeBody(buffer.Bytes())
}

// decompress restores a compressed body. It accepts at most MaxFrameBytes, because a small frame could otherwise take
// much memory.
func decompress(encoded msgpack.RawMessage) (msgpack.RawMessage, error) {
	var compressed []byte
	if err := msgpack.Unmarshal(encoded, &compressed); err != nil {
		return nil, &FrameError{Code: "malformed", Detail: err.Error()}
	}
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), MaxFrameBytes+1))
	if err != nil {
		return nil, &FrameError{Code: "malformed", Detail: err.Error()}
	}
	if len(body) > MaxFrameBytes {
		return nil, &FrameError{Code: "oversize", Detail: "decompressed body is too large"}
	}
	return body, nil
}

package peer

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// MaxFrameBytes bounds the payload of one frame; a published value has at most 1 MB.
	MaxFrameBytes = 2 << 20
	// lengthBytes is the size of the big-endian length before each payload.
	lengthBytes = 4
	// maxKind is the highest known message kind.
	maxKind = KindAck
)

// Envelope is the payload of one frame.
type Envelope struct {
	Kind Kind
	// Seq links a reply to its request; 0 marks a message without reply.
	Seq uint64
	// Reply is true for answers.
	Reply bool
	Body  msgpack.RawMessage
}

// FrameError reports bytes that are not a valid frame. The connection cannot be used any more.
type FrameError struct {
	// Code is "oversize", "malformed" or "unknown_kind".
	Code   string
	Detail string
}

// Error implements the error interface.
func (e *FrameError) Error() string { return "peer frame " + e.Code + ": " + e.Detail }

// encodeBody encodes structs as arrays, so that field names take no bytes. Fields may be added at the end of a struct:
// older receivers skip them.
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
	payload, err := encodeBody(Envelope{Kind: kind, Seq: seq, Reply: reply, Body: encodedBody})
	if err != nil {
		return nil, err
	}
	if len(payload) > MaxFrameBytes {
		return nil, &FrameError{Code: "oversize", Detail: fmt.Sprintf("%d bytes", len(payload))}
	}
	frame := make([]byte, lengthBytes, lengthBytes+len(payload))
	binary.BigEndian.PutUint32(frame, uint32(len(payload)))
	return append(frame, payload...), nil
}

// Decode reads the body of an envelope into a message struct.
func (e *Envelope) Decode(into any) error {
	if err := msgpack.Unmarshal(e.Body, into); err != nil {
		return &FrameError{Code: "malformed", Detail: err.Error()}
	}
	return nil
}

// Decoder splits a byte stream into envelopes. The zero value is ready for use.
type Decoder struct {
	buffered []byte
}

// Feed adds received bytes and returns the envelopes that are whole.
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

// shrink copies a small rest, so that one large frame does not keep its memory.
func (d *Decoder) shrink() {
	if len(d.buffered) == 0 {
		d.buffered = nil
		return
	}
	d.buffered = append([]byte(nil), d.buffered...)
}

func decodePayload(payload []byte) (Envelope, error) {
	var envelope Envelope
	if err := msgpack.Unmarshal(payload, &envelope); err != nil {
		return Envelope{}, &FrameError{Code: "malformed", Detail: err.Error()}
	}
	if envelope.Kind == 0 || envelope.Kind > maxKind {
		return Envelope{}, &FrameError{Code: "unknown_kind", Detail: fmt.Sprintf("kind %d", envelope.Kind)}
	}
	return envelope, nil
}

// Package idem decides whether a request with an idempotency key may run. The decision is made at the key's home, which is
// the holder of the lease on the key's slot; docs/leases.md explains why at most one incarnation accepts a key.
//
// The types do no I/O and are not safe for concurrent use. Functions take the monotonic time as now and, where they compare
// key labels, the wall clock in milliseconds.
package idem

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/acacialift/acacialift/internal/lease"
)

const (
	keyTextLength = 36
	keyVersion    = 7
	labelBytes    = 6
	bitsPerByte   = 8
)

// Key is a parsed idempotency key.
type Key struct {
	// Text is the canonical lower-case form, so that different spellings of a key compare equal.
	Text string
	// LabelMS is the issue time in wall-clock milliseconds.
	LabelMS int64
}

// KeyError is the error for a key that is not a UUIDv7.
type KeyError struct {
	// Reason states what is wrong with the key. It does not contain the key itself.
	Reason string
}

// Error implements error.
func (e *KeyError) Error() string { return fmt.Sprintf("idempotency key: %s", e.Reason) }

// ParseKey parses a UUIDv7 in the standard form of 36 characters. It returns a *KeyError for anything else.
func ParseKey(text string) (Key, error) {
	if len(text) != keyTextLength {
		return Key{}, &KeyError{Reason: "not a UUID of 36 characters"}
	}
	id, err := uuid.Parse(text)
	if err != nil {
		return Key{}, &KeyError{Reason: "not a UUID"}
	}
	if id.Version() != keyVersion || id.Variant() != uuid.RFC4122 {
		return Key{}, &KeyError{Reason: "not a UUID of version 7"}
	}
	var label int64
	for _, b := range id[:labelBytes] {
		label = label<<bitsPerByte | int64(b)
	}
	return Key{Text: id.String(), LabelMS: label}, nil
}

// Slot returns the slot of the key in a service, 0 to lease.KeySlots-1.
func (k Key) Slot(service string) int {
	return int(xxhash.Sum64String(service+"\x00"+k.Text) % lease.KeySlots)
}

// Resource returns the resource of the key's slot, whose holder is the key's home.
func (k Key) Resource(service string) string { return lease.KeyResource(service, k.Slot(service)) }

package entry

import (
	"io"

	"github.com/acacialift/acacialift/internal/budget"
)

const (
	// maxResponseBytes bounds a buffered response.
	maxResponseBytes = 8 << 20
	// uncountedResponseBytes is how much of each response does not count toward the memory for buffered responses. Responses
	// of usual size can then be buffered even if endpoints that send endlessly have filled the memory.
	uncountedResponseBytes = 16 << 10
	// minPieceBytes and maxPieceBytes bound the pieces of memory that a response is buffered in.
	minPieceBytes = 1 << 10
	maxPieceBytes = 64 << 10
	// maxResponseDivisor divides the memory for buffered responses into the largest part that one response may use.
	maxResponseDivisor = 4
)

// bufferedResponse is the part of a response's body that has arrived.
type bufferedResponse struct {
	// memory bounds all buffered responses of the process, except the first uncountedResponseBytes of each.
	memory *budget.Budget
	pieces [][]byte
	size   int
	// capacity is the sum of the capacities of the pieces; reserved is the part of it that counts toward the memory.
	capacity int
	reserved int64
}

// add appends a copy of data. It returns errResponseSize if the bounds do not allow it.
func (b *bufferedResponse) add(data []byte) error {
	for len(data) > 0 {
		if err := b.grow(); err != nil {
			return err
		}
		last := &b.pieces[len(b.pieces)-1]
		part := data[:min(len(data), cap(*last)-len(*last))]
		*last = append(*last, part...)
		b.size += len(part)
		data = data[len(part):]
	}
	return nil
}

// grow appends a piece if the last one is full. A new piece is as large as all earlier ones together, within
// minPieceBytes and maxPieceBytes.
func (b *bufferedResponse) grow() error {
	if b.size < b.capacity {
		return nil
	}
	piece := min(max(b.capacity, minPieceBytes), maxPieceBytes)
	capacity := b.capacity + piece
	if int64(capacity) > min(maxResponseBytes, max(b.memory.Limit()/maxResponseDivisor, uncountedResponseBytes)) {
		return errResponseSize
	}
	counted := int64(max(capacity-uncountedResponseBytes, 0)) - b.reserved
	if !b.memory.Reserve(counted) {
		return errResponseSize
	}
	b.reserved += counted
	b.capacity = capacity
	b.pieces = append(b.pieces, make([]byte, 0, piece))
	return nil
}

// release releases the memory. The response must not be used afterwards.
func (b *bufferedResponse) release() {
	b.memory.Release(b.reserved)
	*b = bufferedResponse{memory: b.memory}
}

// writeTo writes the buffered body.
func (b *bufferedResponse) writeTo(w io.Writer) error {
	for _, piece := range b.pieces {
		if _, err := w.Write(piece); err != nil {
			return err
		}
	}
	return nil
}

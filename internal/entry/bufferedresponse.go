package entry

import (
	"io"

	"github.com/acacialift/acacialift/internal/budget"
)

const (
	// maxResponseBytes bounds a buffered response.
	maxResponseBytes = 8 << 20
	// uncountedResponseBytes is how many bytes of each response do not count toward the budget of all buffered responses.
	// Responses of usual size can then be buffered even if endpoints that send endless responses have used up the budget.
	uncountedResponseBytes = 16 << 10
	// minPieceBytes and maxPieceBytes bound the size of one buffer; a response is stored in several of these pieces.
	minPieceBytes = 1 << 10
	maxPieceBytes = 64 << 10
	// One response may use at most the budget of all buffered responses divided by singleResponseDivisor.
	singleResponseDivisor = 4
)

// bufferedResponse buffers the body of a response as it arrives, and reserves memory for it.
type bufferedResponse struct {
	// budget bounds the memory of all buffered responses of the process, except the first uncountedResponseBytes of each.
	budget *budget.Budget
	pieces [][]byte
	size   int
	// capacity is the sum of the capacities of the pieces; reserved is the part of it that counts toward the budget.
	capacity int
	reserved int64
}

// add appends a copy of data. It returns errResponseSize if the response is too large, or if other responses have used
// up the budget.
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

// grow appends a piece if the last one is full. A new piece is as large as all earlier ones together, within minPieceBytes
// and maxPieceBytes. The number of pieces thus grows logarithmically until the pieces have maxPieceBytes.
func (b *bufferedResponse) grow() error {
	if b.size < b.capacity {
		return nil
	}
	piece := min(max(b.capacity, minPieceBytes), maxPieceBytes)
	capacity := b.capacity + piece
	if int64(capacity) > min(maxResponseBytes, max(b.budget.Limit()/singleResponseDivisor, uncountedResponseBytes)) {
		return errResponseSize
	}
	counted := int64(max(capacity-uncountedResponseBytes, 0)) - b.reserved
	if !b.budget.Reserve(counted) {
		return errResponseSize
	}
	b.reserved += counted
	b.capacity = capacity
	b.pieces = append(b.pieces, make([]byte, 0, piece))
	return nil
}

// release releases the memory and discards the buffered body.
func (b *bufferedResponse) release() {
	b.budget.Release(b.reserved)
	*b = bufferedResponse{budget: b.budget}
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

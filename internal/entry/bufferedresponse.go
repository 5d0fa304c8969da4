package entry

import (
	"io"

	"github.com/acacialift/acacialift/internal/budget"
)

const (
	// maxAnswerBytes bounds an answer that is held until it is whole.
	maxAnswerBytes = 8 << 20
	// freeAnswerBytes of each held answer do not count against the memory for held answers, so that endpoints which send
	// without end cannot keep usual answers from being held.
	freeAnswerBytes = 16 << 10
	// minPieceBytes and maxPieceBytes bound the pieces in which an answer is held.
	minPieceBytes = 1 << 10
	maxPieceBytes = 64 << 10
	// answerMemoryShare is the part of the memory for held answers that one of them may take.
	answerMemoryShare = 4
)

// bufferedResponse is the body of a response, as far as it has arrived.
type bufferedResponse struct {
	// memory bounds all buffered responses of the process, apart from the first bytes of each.
	memory *budget.Budget
	pieces [][]byte
	size   int
	// room is the sum of the capacities of the pieces, reserved the part that counts against the memory.
	room     int
	reserved int64
}

// add copies data, or returns errAnswerSize if there is no room for it.
func (h *bufferedResponse) add(data []byte) error {
	for len(data) > 0 {
		if err := h.grow(); err != nil {
			return err
		}
		last := &h.pieces[len(h.pieces)-1]
		part := data[:min(len(data), cap(*last)-len(*last))]
		*last = append(*last, part...)
		h.size += len(part)
		data = data[len(part):]
	}
	return nil
}

// grow adds a piece if the last one is full.
func (h *bufferedResponse) grow() error {
	if h.size < h.room {
		return nil
	}
	piece := min(max(h.room, minPieceBytes), maxPieceBytes)
	room := h.room + piece
	if int64(room) > min(maxAnswerBytes, max(h.memory.Limit()/answerMemoryShare, freeAnswerBytes)) {
		return errAnswerSize
	}
	counted := int64(max(room-freeAnswerBytes, 0)) - h.reserved
	if !h.memory.Reserve(counted) {
		return errAnswerSize
	}
	h.reserved += counted
	h.room = room
	h.pieces = append(h.pieces, make([]byte, 0, piece))
	return nil
}

// release gives the memory back. The answer must not be used any more.
func (h *bufferedResponse) release() {
	h.memory.Release(h.reserved)
	*h = bufferedResponse{memory: h.memory}
}

// writeTo writes the answer.
func (h *bufferedResponse) writeTo(w io.Writer) error {
	for _, piece := range h.pieces {
		if _, err := w.Write(piece); err != nil {
			return err
		}
	}
	return nil
}

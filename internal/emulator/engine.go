package emulator

import (
	"slices"
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
)

// endpoint is a model engine in virtual time. It works in passes: each pass prefills waiting prompt parts in turn and
// decodes one event of each stream.
type endpoint struct {
	*fleet.Endpoint
	engine *fleet.Engine
	chunk  int64
	// parts holds the prompt parts to prefill. Parts of prompts that several endpoints prefill come first, the newest
	// at the front; prompts of this endpoint alone follow in the order of their arrival.
	parts []*part
	// queue holds requests with this endpoint as primary that wait for a slot and memory.
	queue      []*request
	decoding   []*request
	usedSlots  int
	usedTokens int64
	running    bool
	// pass holds the prefill work of the current pass.
	pass []prefillWork
	// prefillTime sums the time spent on prefill.
	prefillTime time.Duration
	// slowdown multiplies the times of the engine; zero means 1. slowSince is the time since which it is slow, slowUntil the
	// time until which it was. away is true while the endpoint is out of service.
	slowdown             float64
	slowSince, slowUntil time.Duration
	away, found          bool
}

// part is the part of a prompt that one endpoint prefills.
type part struct {
	request   *request
	remaining int64
	// perToken is the prefill time of one token, including its share of the attention time.
	perToken time.Duration
	// shared is true if several endpoints prefill the prompt.
	shared bool
}

// prefillWork is the work on one part in one pass.
type prefillWork struct {
	part   *part
	tokens int64
}

// admit assigns slots and memory to waiting requests.
func (e *endpoint) admit() {
	for len(e.queue) > 0 {
		r := e.queue[0]
		if e.usedSlots >= e.engine.Slots || e.usedTokens+r.memoryTokens()-r.reservedTokens() > e.engine.MemoryTokens {
			return
		}
		e.queue = e.queue[1:]
		e.usedSlots++
		e.usedTokens += r.memoryTokens() - r.reservedTokens()
		e.addPart(r.primaryPart)
	}
}

func (e *endpoint) addPart(p *part) {
	if p.shared {
		e.parts = slices.Insert(e.parts, 0, p)
		return
	}
	e.parts = append(e.parts, p)
}

// startPass plans a pass and returns its length; zero if there is nothing to do.
func (e *endpoint) startPass() time.Duration {
	e.admit()
	e.pass = e.pass[:0]
	steps := 1
	if len(e.decoding) > 0 {
		steps = e.engine.Stride
	}
	room := int64(steps) * e.chunk
	var prefill time.Duration
	for _, p := range e.parts {
		tokens := min(p.remaining, room)
		if tokens == 0 {
			break
		}
		room -= tokens
		prefill += time.Duration(tokens) * p.perToken
		e.pass = append(e.pass, prefillWork{part: p, tokens: tokens})
	}
	if len(e.pass) == 0 && len(e.decoding) == 0 {
		return 0
	}
	e.prefillTime += prefill
	var contextTokens int64
	for _, r := range e.decoding {
		contextTokens += r.tokens - r.reservedTokens()
	}
	step := e.engine.PassTime(len(e.decoding), contextTokens) / time.Duration(e.engine.Stride)
	return time.Duration(max(e.slowdown, 1) * float64(prefill+time.Duration(steps)*step))
}

// endPass returns the requests whose last part was prefilled, and the requests that decoded an event.
func (e *endpoint) endPass() (prefilled, decoded []*request) {
	for _, w := range e.pass {
		w.part.remaining -= w.tokens
		if w.part.remaining > 0 {
			continue
		}
		w.part.request.partsRemaining--
		if w.part.request.partsRemaining == 0 {
			prefilled = append(prefilled, w.part.request)
		}
	}
	e.parts = slices.DeleteFunc(e.parts, func(p *part) bool { return p.remaining == 0 })
	return prefilled, slices.Clone(e.decoding)
}

// release frees the slot and the memory of a request.
func (e *endpoint) release(r *request) {
	e.usedSlots--
	e.usedTokens -= r.memoryTokens() - r.reservedTokens()
	e.decoding = slices.DeleteFunc(e.decoding, func(d *request) bool { return d == r })
}

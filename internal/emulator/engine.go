package emulator

import (
	"slices"
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
)

// endpoint is a model engine in virtual time. It works in passes: all prompts that wait are read in turn, and all
// streams write, until the pass ends.
type endpoint struct {
	*fleet.Endpoint
	engine *fleet.Engine
	chunk  int64
	// parts holds the prompt parts to read. A part of a prompt that several endpoints read goes before all others, also
	// before earlier such parts; prompts that one endpoint reads follow in the order of their arrival.
	parts []*part
	// queue holds own requests that wait for a slot and memory.
	queue   []*request
	writers []*request
	slots   int
	memory  int64
	running bool
	// pass holds the reading of the current pass.
	pass []reading
	// readTime sums the time spent on reading.
	readTime time.Duration
}

// part is a share of a prompt that one endpoint reads.
type part struct {
	request *request
	left    int64
	// perToken is the reading time of one token with its share of the pairs.
	perToken time.Duration
	// shared is true if several endpoints read the prompt.
	shared bool
}

// reading is the work on one part in one pass.
type reading struct {
	part   *part
	tokens int64
}

// admit gives slots and memory to waiting requests.
func (e *endpoint) admit() {
	for len(e.queue) > 0 {
		r := e.queue[0]
		if e.slots >= e.engine.Slots || e.memory+r.memory()-r.heldTokens() > e.engine.MemoryTokens {
			return
		}
		e.queue = e.queue[1:]
		e.slots++
		e.memory += r.memory() - r.heldTokens()
		e.addPart(r.ownPart)
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
	if len(e.writers) > 0 {
		steps = e.engine.Stride
	}
	room := int64(steps) * e.chunk
	var read time.Duration
	for _, p := range e.parts {
		tokens := min(p.left, room)
		if tokens == 0 {
			break
		}
		room -= tokens
		read += time.Duration(tokens) * p.perToken
		e.pass = append(e.pass, reading{part: p, tokens: tokens})
	}
	if len(e.pass) == 0 && len(e.writers) == 0 {
		return 0
	}
	e.readTime += read
	var context int64
	for _, w := range e.writers {
		context += w.tokens - w.heldTokens()
	}
	step := e.engine.PassTime(len(e.writers), context) / time.Duration(e.engine.Stride)
	return read + time.Duration(steps)*step
}

// endPass returns the requests whose last part was read, and those that wrote an event.
func (e *endpoint) endPass() (read, wrote []*request) {
	for _, r := range e.pass {
		r.part.left -= r.tokens
		if r.part.left > 0 {
			continue
		}
		r.part.request.partsLeft--
		if r.part.request.partsLeft == 0 {
			read = append(read, r.part.request)
		}
	}
	e.parts = slices.DeleteFunc(e.parts, func(p *part) bool { return p.left == 0 })
	return read, slices.Clone(e.writers)
}

// finish frees the slot and the memory of a request.
func (e *endpoint) finish(r *request) {
	e.slots--
	e.memory -= r.memory() - r.heldTokens()
	e.writers = slices.DeleteFunc(e.writers, func(w *request) bool { return w == r })
}

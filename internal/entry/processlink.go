package entry

import (
	"context"
	"sync"

	"github.com/acacialift/acacialift/internal/engine"
)

// processLink sends requests to an endpoint and tells whether the same process has answered all of them, which the responses do not state.
// Each request has a connection of its own, which was opened before the response to the previous request arrived: the process that
// sent that response ran when the connection was accepted, so that no other one has accepted it. The zero value has sent nothing. It
// is used by one goroutine at a time.
type processLink struct {
	client *engine.Client
	// next is the connection for the next request; nil if there is none.
	next    *engine.Witness
	hasSent bool
	// isBroken is true once a response may have come from another process than the one before.
	isBroken bool
}

// send sends a request that may be repeated, and opens the connection for the next one.
func (l *processLink) send(ctx context.Context, req engine.Request, maxBytes int) (*engine.Response, error) {
	var next *engine.Witness
	var dial sync.WaitGroup
	if !l.isBroken {
		dial.Go(func() { next, _ = l.client.OpenWitness(ctx, req.Address) })
	}
	current, err := l.connect(ctx, req)
	dial.Wait()
	if err != nil {
		closeWitness(next)
		return nil, &engine.Error{Err: err}
	}
	l.next = next
	return l.fetch(ctx, current, req, maxBytes)
}

// sendLast sends a request that may be repeated, after which no other one follows.
func (l *processLink) sendLast(ctx context.Context, req engine.Request, maxBytes int) (*engine.Response, error) {
	current, err := l.connect(ctx, req)
	if err != nil {
		return nil, &engine.Error{Err: err}
	}
	return l.fetch(ctx, current, req, maxBytes)
}

// connect returns the connection for a request.
func (l *processLink) connect(ctx context.Context, req engine.Request) (*engine.Witness, error) {
	if current := l.next; current != nil {
		l.next = nil
		return current, nil
	}
	l.isBroken = l.isBroken || l.hasSent
	l.hasSent = true
	return l.client.OpenWitness(ctx, req.Address)
}

// fetch sends a request on a connection. The endpoint may have closed the connection because nothing was sent on it; the request is then sent on
// a new one.
func (l *processLink) fetch(ctx context.Context, current *engine.Witness, req engine.Request, maxBytes int) (*engine.Response, error) {
	response, err := current.Fetch(ctx, req, maxBytes)
	if err == nil || ctx.Err() != nil || l.isBroken {
		l.isBroken = l.isBroken || err != nil
		return response, err
	}
	l.isBroken = true
	l.close()
	return l.client.Fetch(ctx, req, maxBytes)
}

// isIntact reports whether the same process has sent all responses.
func (l *processLink) isIntact() bool { return !l.isBroken }

// close closes the connection for the next request.
func (l *processLink) close() {
	closeWitness(l.next)
	l.next = nil
}

func closeWitness(w *engine.Witness) {
	if w != nil {
		w.Close()
	}
}

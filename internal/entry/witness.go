package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/fleet"
)

const (
	// maxWitnessAge is the age up to which the end of a witness shows that its process has ended. Later, the endpoint may have closed it
	// because nothing was sent on it; common servers wait for 5 s and longer.
	maxWitnessAge = 2 * time.Second
	// unframedMemory is how long a service counts as one whose responses may have no length after the last such response.
	unframedMemory = 10 * time.Minute
	// witnessWait bounds how long a request waits for its witness. Connections are established in less than a millisecond within a region.
	witnessWait = 20 * time.Millisecond
)

// unframedServices holds the time of the last response without length and chunks of each service. Attempts at these services open a
// witness before the response arrives: an endpoint that is killed right after the head leaves no time later.
type unframedServices struct {
	mu   sync.Mutex
	last map[string]time.Time
}

func (u *unframedServices) observe(service string, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.last == nil {
		u.last = make(map[string]time.Time)
	}
	u.last[service] = now
}

func (u *unframedServices) expects(service string, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	last, known := u.last[service]
	return known && now.Sub(last) < unframedMemory
}

// witness is a connection to an endpoint that was opened during an attempt. After the end of a response without length, an answer on
// it shows that the process lives that got the request, also if a successor under the same id listens at the address.
type witness struct {
	cancel context.CancelFunc
	// ready is closed once conn, err and opened have their values.
	ready  chan struct{}
	conn   *engine.Witness
	err    error
	opened time.Time

	mu sync.Mutex
	// isOpen reports whether the response has not ended yet. It is nil until the head has arrived.
	isOpen func() bool
	// inTime is true if the connection was established before the response ended.
	inTime bool
}

// openWitness opens a witness in the background. isOpen reports whether the response has not ended yet; nil if its head has not arrived.
func (x *exchange) openWitness(ctx context.Context, e *fleet.Endpoint, isOpen func() bool) *witness {
	ctx, cancel := context.WithCancel(ctx)
	w := &witness{cancel: cancel, ready: make(chan struct{}), isOpen: isOpen, err: context.Canceled}
	go func() {
		defer close(w.ready)
		x.handler.panics.Recover("witness of an endpoint", func() {
			w.conn, w.err = x.handler.options.Client.OpenWitness(ctx, e.Address)
			w.mu.Lock()
			defer w.mu.Unlock()
			w.opened = time.Now()
			w.inTime = w.err == nil && (w.isOpen == nil || w.isOpen())
		})
	}()
	return w
}

// observeHead states that the head of the response has arrived.
func (w *witness) observeHead(isOpen func() bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isOpen = isOpen
}

// isInTime reports whether the connection was established before the response ended.
func (w *witness) isInTime() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isReady() && w.inTime
}

// isReady reports whether the connection is established or has failed.
func (w *witness) isReady() bool {
	select {
	case <-w.ready:
		return true
	default:
		return false
	}
}

// await waits until the connection is established or has failed, at most witnessWait. The witness may be nil.
func (w *witness) await() {
	if w == nil || w.isReady() {
		return
	}
	timer := time.NewTimer(witnessWait)
	defer timer.Stop()
	select {
	case <-w.ready:
	case <-timer.C:
	}
}

// close ends the witness. It may be nil.
func (w *witness) close() {
	if w == nil {
		return
	}
	w.cancel()
	<-w.ready
	if w.conn != nil {
		w.conn.Close()
	}
}

// needsWitness reports whether no question after the end of a response would tell its endpoint from a successor: it states only its id, or has
// requested a back-off and may not be asked.
func (r *relay) needsWitness() bool { return r.x.service.Engine == nil || !r.x.mayAsk(r.endpoint) }

// startWitness opens a witness for an attempt at a plain service whose responses may have no length.
func (r *relay) startWitness(ctx context.Context) {
	r.ctx = ctx
	if r.x.service.Engine == nil && r.x.handler.unframed.expects(r.x.service.Name, time.Now()) {
		r.witness = r.x.openWitness(ctx, r.endpoint, nil)
	}
}

// observeUnframed opens the witness at the latest when the head of a response without length has arrived.
func (r *relay) observeUnframed(isOpen func() bool) {
	r.isOpen = isOpen
	if r.x.service.Engine == nil {
		r.x.handler.unframed.observe(r.x.service.Name, time.Now())
	}
	if !r.needsWitness() {
		return
	}
	if r.witness == nil {
		r.renewWitness()
		return
	}
	r.witness.observeHead(isOpen)
	// The endpoint may have accepted no further connection, or closed it again.
	if r.witness.isReady() && (r.witness.err != nil || !r.witness.conn.IsOpen()) && isOpen() {
		r.renewWitness()
	}
}

// renewWitness opens a new witness while a response without length arrives.
func (r *relay) renewWitness() {
	r.witness.close()
	r.witness = r.x.openWitness(r.ctx, r.endpoint, r.isOpen)
}

// refreshWitness opens a witness if the endpoint has requested a back-off during the response, or a new one if the last one has become so
// old that its end would soon show nothing.
func (r *relay) refreshWitness(now time.Time) {
	switch {
	case !r.unframed:
	case r.witness == nil && r.needsWitness(),
		r.witness != nil && r.witness.isReady() && now.Sub(r.witness.opened) > maxWitnessAge/2:
		r.renewWitness()
	}
}

// checkWitness asks on the witness of a response which incarnation answers. It returns false if the witness shows nothing: it was not
// established while the response had not ended, or the endpoint may have closed it for its age.
func (x *exchange) checkWitness(ctx context.Context, e *fleet.Endpoint, w *witness) (EndpointFinding, bool) {
	if w == nil || !w.isInTime() {
		return "", false
	}
	isYoung := time.Since(w.opened) <= maxWitnessAge
	ctx, cancel := context.WithTimeout(ctx, plainCheckTimeout)
	defer cancel()
	if !x.mayAsk(e) {
		if staysOpen(ctx, w.conn) {
			return foundAccepts, true
		}
		return foundWitnessClosed, isYoung
	}
	target := x.handler.options.Protocol.IncarnationTarget(e, x.service)
	response, err := w.conn.Fetch(ctx, engine.Request{Method: http.MethodGet, Target: target, Address: e.Address}, maxCheckBytes)
	switch {
	case ctx.Err() != nil:
		return foundSilent, true
	case errors.Is(err, engine.ErrIncomplete), errors.Is(err, syscall.ECONNRESET):
		return foundWitnessClosed, isYoung
	case err != nil:
		return foundClosed, true
	}
	return x.handler.options.Protocol.Incarnation(e, x.service, response), true
}

package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/httpserver"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/placement"
)

const (
	// maxUnreachable bounds the endpoints to which one request could not be sent.
	maxUnreachable = 3
	// notRunRetryAfter is the advised delay if endpoints refused the request.
	notRunRetryAfter = 150 * time.Millisecond
)

// errWithdrawn means that an endpoint was withdrawn, or asked for a rest, between placement and sending.
var errWithdrawn = errors.New("the endpoint was withdrawn")

// exchange is one call from its arrival to its answer.
type exchange struct {
	handler  *Handler
	call     *Call
	w        http.ResponseWriter
	received time.Time

	catalog    *fleet.Catalog
	catalogAge time.Duration
	profile    *fleet.Profile
	service    *fleet.Service
	team       fleet.Team
	// counted is true once the call counts as demand for its service; lot is the random number that it keeps for its
	// placement.
	counted bool
	lot     float64
	// scheduled is true if schedulers have decided on the last placement; refusedBy is the last one that has refused.
	scheduled bool
	refusedBy string
	// leastRest is the shortest rest of the endpoints that were left out of the last placement for theirs; zero if none was.
	leastRest time.Duration
	// limit is the time of the call from its arrival.
	limit time.Duration

	// tried holds the ids of endpoints that are not chosen again.
	tried       map[string]bool
	sent        int
	unreachable int
	// mayHaveRun is true once an endpoint may have run the call.
	mayHaveRun bool
	// answer is a failure that an endpoint returned whole; it is passed on if no other attempt succeeds.
	answer *relay
	// relays are the answers of all attempts. Their memory is given back at the end.
	relays []*relay
	// events is the state of a stream across attempts; started is true once its head was sent to the caller.
	events  events
	started bool
	firstAt time.Time
}

// run admits the call, and sends it to endpoints until one answers or no further attempt is allowed.
func (x *exchange) run(ctx context.Context) {
	x.handler.options.Metrics.Received()
	if refusal := x.admit(); refusal != nil {
		x.end(refusal)
		return
	}
	x.tried = make(map[string]bool)
	x.handler.options.RetryBudget.CountRequest(x.service.Name, x.received)
	ctx, cancel := context.WithDeadline(ctx, x.received.Add(x.limit))
	defer cancel()
	defer x.releaseAnswers()
	for x.attempt(ctx) {
		x.handler.options.Metrics.Retried()
	}
}

func (x *exchange) releaseAnswers() {
	for _, r := range x.relays {
		r.body.release()
	}
}

// attempt places the call and sends it to an endpoint. It returns true if another attempt is to follow.
func (x *exchange) attempt(ctx context.Context) bool {
	p, refusal := x.place(ctx)
	if refusal != nil {
		x.giveUp(ctx, refusal)
		return false
	}
	defer p.grant.End()
	now := time.Now()
	choice, first := p.Choice, p.Primary
	if !x.takeCold(&p, now) {
		x.tried[first.ID] = true
		return true
	}
	x.logPlaced(&p)
	holding := x.handler.options.Load.AddNumbered(p.number, x.work(choice, now), now)
	defer holding.End()
	reserved, err := x.reserve(ctx, choice.Reservations)
	if err != nil {
		return x.judgeNotReserved(ctx, choice, err)
	}
	defer reserved.release()
	r := &relay{x: x, endpoint: first, body: bufferedResponse{memory: x.handler.answers}}
	x.relays = append(x.relays, r)
	r.onFirst = func() {
		if holding.PrefillDone() {
			p.grant.PrefillDone()
		}
		if x.firstAt.IsZero() {
			x.firstAt = time.Now()
		}
	}
	err = x.handler.options.Client.Do(ctx, x.request(choice, reserved.tickets), func() error { return x.stillUsable(&p) }, r)
	return x.judge(ctx, first, r, err)
}

// work describes the placed call to the other instances.
func (x *exchange) work(choice placement.Choice, now time.Time) load.Work {
	need := x.need()
	need.Objective = x.objectiveLeft(now)
	return choice.Work(need, x.limit-now.Sub(x.received))
}

// request builds the request to an endpoint. A request that must not run twice gets a connection of its own, because the
// fate of one that crosses the close of an idle connection is not known.
func (x *exchange) request(choice placement.Choice, tickets []Reservation) engine.Request {
	return engine.Request{
		Method:  x.call.Method,
		Target:  x.call.Target,
		Host:    x.call.Host,
		Address: choice.Primary.Address,
		Body:    x.call.Body,
		Fresh:   x.profile.Kind == fleet.NonIdempotent,
		Header: x.handler.options.Protocol.Header(x.call, Dispatch{
			Endpoint:     choice.Primary,
			Helpers:      choice.Helpers,
			Reservations: tickets,
			Team:         x.team.Name,
			TimeLeft:     time.Until(x.received.Add(x.limit)),
			LastEventID:  x.events.lastID,
		}),
	}
}

// stillUsable is the last check before the first byte is sent.
func (x *exchange) stillUsable(p *placed) error {
	e := p.Primary
	snapshot := x.handler.options.State.Snapshot()
	current := x.handler.options.State.Endpoint(e.ID)
	if current == nil || current.Started != e.Started || current.Leaving || snapshot.OutOfService[e.Domain] {
		return errWithdrawn
	}
	if x.handler.options.Health.BackOffLeft(e.Key(), time.Now()) > 0 || x.isGrantOver(p) {
		return errWithdrawn
	}
	x.sent++
	return nil
}

// sendEvents passes whole events to the caller.
func (x *exchange) sendEvents(header http.Header, whole []byte) error {
	if !x.started {
		x.started = true
		copyHeader(x.w.Header(), header)
		x.w.Header().Del("Content-Length")
		x.w.WriteHeader(http.StatusOK)
	}
	if _, err := x.w.Write(whole); err != nil {
		return err
	}
	if flusher, ok := x.w.(http.Flusher); ok {
		flusher.Flush()
	}
	return httpserver.WriteError(x.w)
}

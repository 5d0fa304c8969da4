package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/acacialift/acacialift/internal/clock"
	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/httpserver"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/returntimes"
)

const (
	// maxUnreachable bounds the retries of one request after attempts in which an endpoint was unreachable or refused a
	// reservation. The endpoint did not get the request, so these retries do not use the retry budget.
	maxUnreachable = 3
	// notRunRetryAfter is the Retry-After if no endpoint has accepted the request.
	notRunRetryAfter = 150 * time.Millisecond
)

// errWithdrawn means that an endpoint must not get the request any more: between placement and sending it was removed, began
// to leave, went out of service or requested a back-off, the grant for its cold start expired, or this instance used up its
// share of the endpoint's request rate.
var errWithdrawn = errors.New("the endpoint became unavailable after placement")

// exchange is the processing of one call from its arrival to the end of the response.
type exchange struct {
	handler  *Handler
	call     *Call
	w        http.ResponseWriter
	received time.Time

	catalog *fleet.Catalog
	// confirmed is the latest confirmation of the catalog, and catalogAge its age at the admission.
	confirmed  fleet.Confirmation
	catalogAge time.Duration
	profile    *fleet.Profile
	service    *fleet.Service
	team       fleet.Team
	// arrivalCounted is true once the call counts as demand for its service.
	arrivalCounted bool
	// randomRank is a random number from 0 to 1 that the call keeps for all its placements.
	randomRank float64
	// bySchedulers is true if schedulers decided on the last placement.
	bySchedulers bool
	// refusingScheduler is the last scheduler that refused the call.
	refusingScheduler string
	// minBackOff is the shortest remaining back-off among the endpoints that the last placement left out because of it. It is
	// zero if there were none.
	minBackOff time.Duration
	// returns is what is known of the caller's return times.
	returns returnState
	waiting waiting
	// timeLimit is how long the call may take from its arrival.
	timeLimit time.Duration

	// tried holds the ids of endpoints that are not chosen again.
	tried     map[string]bool
	unreached unreachedEndpoints
	// sent is the number of attempts whose request was sent to an endpoint. It is counted immediately before the first byte.
	sent int
	// unreachable is the number of attempts in which an endpoint was unreachable or refused a reservation.
	unreachable int
	// mayHaveRun is true once an endpoint may have run the call.
	mayHaveRun bool
	// failureResponse is the last complete response with a server error; it is forwarded if no other attempt succeeds.
	failureResponse *relay
	// pace observes the endpoints of the latest attempt.
	pace *attemptPace
	// relays are the responses of all attempts. Their memory is released at the end of the exchange.
	relays []*relay
	// events splits the streams of all attempts into events.
	events eventSplitter
	// watch is the watch of the prompt's parts.
	watch partsWatch
	// eventsBefore is the number of events that earlier attempts have received.
	eventsBefore int
	// streamStarted is true once the head of a stream was sent to the caller.
	streamStarted bool
	// firstEventAt is the time of the first event of a stream, or of the end of a response that is not a stream.
	firstEventAt time.Time
	// lastEventAt is the time of the last event of a stream, and longestGap the longest time between two of them.
	lastEventAt time.Time
	longestGap  time.Duration
}

// run admits the call and makes attempts until one succeeds or no further attempt is allowed.
func (x *exchange) run(ctx context.Context) {
	x.handler.options.Metrics.Received()
	if refusal := x.admit(); refusal != nil {
		x.endWithError(refusal)
		return
	}
	x.tried = make(map[string]bool)
	x.events.budget = x.handler.responseMemory
	x.handler.options.RetryBudget.CountRequest(x.service.Name, x.received)
	ctx, stopShutdownWatch := x.handler.shutdown.watch(ctx)
	defer stopShutdownWatch()
	ctx, cancel := context.WithDeadline(ctx, x.received.Add(x.timeLimit))
	defer cancel()
	ctx, cancelWatched := x.watchParts(ctx)
	defer cancelWatched()
	defer x.releaseResponses()
	if x.profile.Resumable {
		x.events.lastID = x.call.LastEventID
	}
	defer func() { x.handler.numbering.observe(x.service.Name, x.events.numbering) }()
	if ctx.Err() != nil {
		x.endCancelled(ctx)
		return
	}
	for x.attempt(ctx) {
		x.handler.options.Metrics.Retried()
		x.watch.resume()
		if ctx.Err() != nil {
			x.endCancelled(ctx)
			return
		}
	}
}

func (x *exchange) releaseResponses() {
	x.events.dropPending()
	for _, r := range x.relays {
		r.body.release()
	}
}

// attempt places the call and sends it to an endpoint. It returns true if the call is to be retried.
func (x *exchange) attempt(ctx context.Context) bool {
	p, refusal := x.place(ctx)
	if refusal != nil {
		if x.retriesUnreached(refusal) {
			return true
		}
		x.endUnplaced(ctx, refusal)
		return false
	}
	defer p.schedulerPlacement.End()
	if p.tracked != nil {
		defer p.tracked.End()
	}
	now := time.Now()
	choice, primary := p.Choice, p.Primary
	if !x.takeColdStart(&p, now) {
		x.tried[primary.ID] = true
		return true
	}
	x.logPlaced(&p)
	request := p.tracked
	if request == nil {
		request = x.handler.options.Load.AddNumbered(p.number, x.work(choice, now), now)
	}
	defer func() {
		request.End()
		x.handler.localQueue.Wake()
	}()
	x.observePlaced(now)
	defer x.observeWorkEnded(returntimes.Short)
	x.pace = x.observePace(&p, now)
	defer x.pace.release()
	reserved, err := x.reserve(ctx, choice.Reservations)
	if err != nil {
		return x.handleNotReserved(ctx, choice, err)
	}
	defer reserved.release()
	x.eventsBefore = x.events.count
	x.events.beginAttempt(x.handler.numbering.isConsecutive(x.service.Name))
	r := &relay{x: x, endpoint: primary, began: clock.Boot(), reserved: reserved, body: bufferedResponse{budget: x.handler.responseMemory}}
	x.relays = append(x.relays, r)
	r.onEvents = func() {
		x.pace.event(r, time.Now())
		if x.firstEventAt.IsZero() {
			x.firstEventAt = time.Now()
		}
		if request.PrefillDone() {
			x.pace.firstEvent(r, time.Now())
			p.schedulerPlacement.PrefillDone()
			x.observeWorkEnded(returntimes.Long)
			x.watch.pause()
		}
	}
	r.startWitness(ctx)
	defer func() { r.witness.close() }()
	err = x.handler.options.Client.Do(ctx, x.request(choice, reserved.reservations()), func() error {
		r.witness.await()
		r.sentAt = time.Now()
		return x.stillUsable(&p)
	}, r)
	ended := time.Now()
	retry := x.handleResult(ctx, primary, r, err)
	x.pace.end(r, err, ended)
	return retry
}

// attemptEvents returns the number of complete events that the latest attempt has received.
func (x *exchange) attemptEvents() int { return x.events.count - x.eventsBefore }

// work returns the load of the placed call, as it is counted here and reported to the peers.
func (x *exchange) work(choice placement.Choice, now time.Time) load.Work {
	need := x.need()
	need.Objective = x.objectiveLeft(now)
	return choice.Work(need, x.timeLimit-now.Sub(x.received))
}

// request builds the request to an endpoint. A request that may run only once uses a new connection: if the endpoint closes an idle
// connection while a request is being sent, it is not known whether the request runs.
func (x *exchange) request(choice placement.Choice, reservations []Reservation) engine.Request {
	return engine.Request{
		Method:  x.call.Method,
		Target:  x.call.Target,
		Host:    x.call.Host,
		Address: choice.Primary.Address,
		Body:    x.call.Body,
		Fresh:   !x.profile.Retryable(),
		Header: x.handler.options.Protocol.Header(x.call, Dispatch{
			Endpoint:     choice.Primary,
			Helpers:      choice.Helpers,
			Reservations: reservations,
			Team:         x.team.Name,
			TimeLeft:     time.Until(x.received.Add(x.timeLimit)),
			LastEventID:  x.events.lastID,
			Rank:         x.rank(),
			Ranked:       x.catalog.IsRanked(x.service.Name),
		}),
	}
}

// rank returns the rank of the call among all requests of its service. All attempts of the call have the same rank.
func (x *exchange) rank() int { return x.catalog.Rank(x.service.Name, x.profile, x.team) }

// stillUsable checks the endpoint again immediately before the first byte is sent.
func (x *exchange) stillUsable(p *attemptPlacement) error {
	e := p.Primary
	snapshot := x.handler.options.State.Snapshot()
	if x.isLeaving(e) || snapshot.OutOfService[e.Domain] {
		return errWithdrawn
	}
	if x.handler.options.Health.BackOffLeft(e.Key(), time.Now()) > 0 || x.isColdGrantExpired(p) {
		return errWithdrawn
	}
	if !x.handler.options.RateLimiter.Take(e.Key(), time.Now()) {
		return errWithdrawn
	}
	x.sent++
	return nil
}

// sendEvents sends complete events to the caller, after the response head if it was not sent yet.
func (x *exchange) sendEvents(header http.Header, events []byte) error {
	if !x.streamStarted {
		x.streamStarted = true
		copyHeader(x.w.Header(), header)
		x.w.Header().Del("Content-Length")
		x.w.WriteHeader(http.StatusOK)
	}
	if _, err := x.w.Write(events); err != nil {
		return err
	}
	if flusher, ok := x.w.(http.Flusher); ok {
		flusher.Flush()
	}
	return httpserver.WriteError(x.w)
}

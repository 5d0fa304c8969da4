package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/acacialift/acacialift/internal/clock"
	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/placement"
)

const (
	// reservationTime is how long memory stays reserved without a renewal. If this instance is killed, the endpoint frees
	// the memory after this time.
	reservationTime = 3 * time.Second
	// renewInterval is the time between two renewals of a reservation.
	renewInterval = time.Second
	// controlTimeout bounds one control request to an endpoint.
	controlTimeout = 300 * time.Millisecond
	// maxControlResponseBytes bounds the body of the response to a control request.
	maxControlResponseBytes = 4 << 10
)

// Reservation is reserved memory of an endpoint.
type Reservation struct {
	Endpoint *fleet.Endpoint
	// ID is unique for each attempt, because two attempts must not share a reservation.
	ID     string
	Tokens int64
}

// ControlError means that an endpoint refused a control request.
type ControlError struct {
	Endpoint string
	Status   int
}

// Error implements the error interface.
func (e *ControlError) Error() string {
	return fmt.Sprintf("endpoint %s refused a control request with status %d", e.Endpoint, e.Status)
}

// reservationSet holds the reservations of one attempt. They are renewed until release is called.
type reservationSet struct {
	x      *exchange
	leases []*memoryLease
	stop   context.CancelFunc
	ended  sync.WaitGroup
}

// mayHaveLapsed reports whether memory of the attempt may have been freed until now. The endpoint then cuts off the request.
func (s *reservationSet) mayHaveLapsed() bool {
	now := clock.Boot()
	return slices.ContainsFunc(s.leases, func(l *memoryLease) bool { return l.mayHaveLapsed(now) })
}

// reservations returns the reservations of the attempt.
func (s *reservationSet) reservations() []Reservation {
	reservations := make([]Reservation, 0, len(s.leases))
	for _, l := range s.leases {
		reservations = append(reservations, l.Reservation)
	}
	return reservations
}

// reserve reserves the planned memory at all endpoints. If a reservation fails, it releases the memory at all of them.
func (x *exchange) reserve(ctx context.Context, planned []placement.Reservation) (*reservationSet, error) {
	s := &reservationSet{x: x, stop: func() {}}
	for _, p := range planned {
		s.leases = append(s.leases, newMemoryLease(x.handler.options.Client, Reservation{
			Endpoint: p.Endpoint, Tokens: p.Tokens, ID: fmt.Sprintf("%s-%d", x.call.ID, x.sent),
		}))
	}
	if len(s.leases) == 0 {
		return s, nil
	}
	if err := s.each(func(l *memoryLease) error { return x.reserveMemory(ctx, l) }); err != nil {
		s.release()
		return nil, err
	}
	// The renewals continue after the end of the request's context, until the release.
	renewCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	s.stop = stop
	s.ended.Add(1)
	go s.renew(renewCtx)
	return s, nil
}

// each runs an action for all leases concurrently and returns the first error.
func (s *reservationSet) each(action func(*memoryLease) error) error {
	errs := make(chan error, len(s.leases))
	for _, l := range s.leases {
		go func() { errs <- s.x.withoutPanic(func() error { return action(l) }) }()
	}
	var first error
	for range s.leases {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// renew renews all leases until the context ends.
func (s *reservationSet) renew(ctx context.Context) {
	defer s.ended.Done()
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			err := s.each(func(l *memoryLease) error { return s.x.renewMemory(ctx, l) })
			if err != nil && ctx.Err() == nil {
				s.x.handler.options.Log.Warn().Str("request_id", s.x.call.ID).Err(err).Msg("reservation_not_renewed")
			}
		}
	}
}

// reserveMemory requests the reservation of a lease.
func (x *exchange) reserveMemory(ctx context.Context, l *memoryLease) error {
	l.sending.Lock()
	defer l.sending.Unlock()
	sent := clock.Boot()
	err := x.sendControl(ctx, l.Endpoint, x.handler.options.Protocol.Reserve(l.Reservation, reservationTime), l.link.send)
	if err == nil {
		l.observeReserved(sent)
	}
	return err
}

// renewMemory renews a lease. An endpoint that does not hold the memory any more reserves it anew under the same id, so that the success of
// a late renewal does not show that the memory was held.
func (x *exchange) renewMemory(ctx context.Context, l *memoryLease) error {
	l.sending.Lock()
	defer l.sending.Unlock()
	if l.isReleased {
		return nil
	}
	sent := clock.Boot()
	err := x.sendControl(ctx, l.Endpoint, x.handler.options.Protocol.Reserve(l.Reservation, reservationTime), l.link.send)
	var refused *ControlError
	switch {
	case err == nil:
		if gap := l.observeRenewed(sent, clock.Boot()); gap >= reservationTime {
			x.handler.options.Log.Warn().Str("request_id", x.call.ID).Str("endpoint", l.Endpoint.ID).Dur("gap_ms", gap).Msg("reservation_lapsed")
		}
	case errors.As(err, &refused):
		l.observeRefused()
	}
	return err
}

// releaseMemory releases the memory of a lease, once. An endpoint that does not confirm it frees the memory after reservationTime.
func (x *exchange) releaseMemory(ctx context.Context, l *memoryLease) error {
	l.sending.Lock()
	defer l.sending.Unlock()
	if l.isReleased {
		return nil
	}
	l.isReleased = true
	defer l.link.close()
	return x.sendControl(ctx, l.Endpoint, x.handler.options.Protocol.Release(l.Reservation), l.link.sendLast)
}

// release stops the renewals and releases the memory.
func (s *reservationSet) release() {
	if len(s.leases) == 0 {
		return
	}
	s.stop()
	s.ended.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	err := s.each(func(l *memoryLease) error { return s.x.releaseMemory(ctx, l) })
	if err != nil {
		s.x.handler.options.Log.Warn().Str("request_id", s.x.call.ID).Err(err).Msg("reservation_not_released")
	}
}

// controlSender sends a control request and returns the complete response.
type controlSender func(ctx context.Context, req engine.Request, maxBytes int) (*engine.Response, error)

// sendControl sends a control request to an endpoint. It returns nil if the endpoint has executed the request.
func (x *exchange) sendControl(ctx context.Context, e *fleet.Endpoint, c ControlRequest, send controlSender) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	x.handler.options.Metrics.ControlRequestSent()
	response, err := send(ctx, engine.Request{
		Method: c.Method, Target: c.Target, Address: e.Address, Header: c.Header, Body: c.Body, Alone: true,
	}, maxControlResponseBytes)
	if err != nil {
		return err
	}
	x.applyStatus(e, x.handler.options.Protocol.EndpointStatus(response.Status, response.Header))
	if response.Status != c.SuccessStatus {
		return &ControlError{Endpoint: e.ID, Status: response.Status}
	}
	return nil
}

package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/placement"
)

const (
	// holdTime is how long memory stays reserved without a renewal. It bounds what a killed instance leaves behind.
	holdTime = 3 * time.Second
	// renewInterval is the pause between two renewals.
	renewInterval = time.Second
	// orderTimeout bounds one order to an endpoint.
	orderTimeout = 300 * time.Millisecond
	// maxOrderReplyBytes bounds the answer to an order.
	maxOrderReplyBytes = 4 << 10
)

// Reservation is reserved memory of an endpoint.
type Reservation struct {
	Endpoint *fleet.Endpoint
	// ID is unique for each attempt, because two requests must not share a reservation.
	ID     string
	Tokens int64
}

// ControlError is a refused control request.
type ControlError struct {
	Endpoint string
	Status   int
}

// Error implements the error interface.
func (e *ControlError) Error() string {
	return fmt.Sprintf("endpoint %s answered an order with status %d", e.Endpoint, e.Status)
}

// reservationSet holds the reservations of one attempt. It is renewed until it is released.
type reservationSet struct {
	x       *exchange
	tickets []Reservation
	stop    context.CancelFunc
	ended   sync.WaitGroup
}

// reserve reserves memory at all endpoints of the list, or at none.
func (x *exchange) reserve(ctx context.Context, holdings []placement.Reservation) (*reservationSet, error) {
	r := &reservationSet{x: x, stop: func() {}}
	for _, h := range holdings {
		r.tickets = append(r.tickets, Reservation{
			Endpoint: h.Endpoint, Tokens: h.Tokens, ID: fmt.Sprintf("%s-%d", x.call.ID, x.sent),
		})
	}
	if len(r.tickets) == 0 {
		return r, nil
	}
	if err := r.each(func(t Reservation) error {
		return x.order(ctx, t.Endpoint, x.handler.options.Protocol.Reserve(t, holdTime))
	}); err != nil {
		r.release()
		return nil, err
	}
	// The renewals outlive the request's context until the release.
	renewCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	r.stop = stop
	r.ended.Add(1)
	go r.renew(renewCtx)
	return r, nil
}

// each runs an action for all tickets at the same time and returns the first error.
func (r *reservationSet) each(action func(Reservation) error) error {
	errs := make(chan error, len(r.tickets))
	for _, t := range r.tickets {
		go func() { errs <- action(t) }()
	}
	var first error
	for range r.tickets {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (r *reservationSet) renew(ctx context.Context) {
	defer r.ended.Done()
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			err := r.each(func(t Reservation) error {
				return r.x.order(ctx, t.Endpoint, r.x.handler.options.Protocol.Reserve(t, holdTime))
			})
			if err != nil && ctx.Err() == nil {
				r.x.handler.options.Log.Warn().Str("request_id", r.x.call.ID).Err(err).Msg("reservation_not_renewed")
			}
		}
	}
}

// release gives the memory back. What an endpoint does not confirm ends by itself after holdTime.
func (r *reservationSet) release() {
	if len(r.tickets) == 0 {
		return
	}
	r.stop()
	r.ended.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	err := r.each(func(t Reservation) error { return r.x.order(ctx, t.Endpoint, r.x.handler.options.Protocol.Release(t)) })
	if err != nil {
		r.x.handler.options.Log.Warn().Str("request_id", r.x.call.ID).Err(err).Msg("reservation_not_released")
	}
}

// order sends an order to an endpoint.
func (x *exchange) order(ctx context.Context, e *fleet.Endpoint, o ControlRequest) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	x.handler.options.Metrics.ControlRequestSent()
	answer, err := x.handler.options.Client.Fetch(ctx, engine.Request{
		Method: o.Method, Target: o.Target, Address: e.Address, Header: o.Header, Body: o.Body,
	}, maxOrderReplyBytes)
	if err != nil {
		return err
	}
	x.heed(e, x.handler.options.Protocol.EndpointStatus(answer.Status, answer.Header))
	if answer.Status != o.SuccessStatus {
		return &ControlError{Endpoint: e.ID, Status: answer.Status}
	}
	return nil
}

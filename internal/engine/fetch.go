package engine

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// ErrBodyTooLarge means that a response body exceeds the limit passed to Fetch.
var ErrBodyTooLarge = errors.New("response body is too large")

// Response is a complete response with a buffered body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Fetch sends the request and returns the complete response, whose body may have at most maxBytes.
func (c *Client) Fetch(ctx context.Context, req Request, maxBytes int) (*Response, error) {
	collected := collector{maxBytes: maxBytes}
	if err := c.Do(ctx, req, nil, &collected); err != nil {
		return nil, err
	}
	return &collected.response, nil
}

// FetchLimits bounds a response that may be large and arrive slowly.
type FetchLimits struct {
	// MaxBytes is the maximum size of the body.
	MaxBytes int
	// HeadTimeout bounds the time until the head has arrived, StallTimeout each time after that in which nothing more arrives, and Timeout the
	// whole exchange.
	HeadTimeout, StallTimeout, Timeout time.Duration
}

// FetchWithin sends the request and returns the complete response. It goes on as long as the response makes progress within the limits,
// and fails with ErrIdleTimeout if there is none.
func (c *Client) FetchWithin(ctx context.Context, req Request, limits FetchLimits) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, limits.Timeout)
	defer cancel()
	ctx, cancelCause := context.WithCancelCause(ctx)
	defer cancelCause(nil)
	stalled := time.AfterFunc(limits.HeadTimeout, func() { cancelCause(ErrIdleTimeout) })
	defer stalled.Stop()
	receiver := &progressCollector{collector: collector{maxBytes: limits.MaxBytes}, stalled: stalled, timeout: limits.StallTimeout}
	err := c.Do(ctx, req, nil, receiver)
	if err == nil {
		return &receiver.response, nil
	}
	var failure *Error
	if errors.As(err, &failure) && errors.Is(context.Cause(ctx), ErrIdleTimeout) {
		return nil, &Error{BytesSent: failure.BytesSent, HeadReceived: failure.HeadReceived, Err: ErrIdleTimeout}
	}
	return nil, err
}

// progressCollector is a collector that begins a timeout anew with everything that arrives.
type progressCollector struct {
	collector
	stalled *time.Timer
	timeout time.Duration
}

// OnHead implements Receiver.
func (c *progressCollector) OnHead(status int, header http.Header) error {
	c.stalled.Reset(c.timeout)
	return c.collector.OnHead(status, header)
}

// OnBody implements Receiver.
func (c *progressCollector) OnBody(data []byte) error {
	c.stalled.Reset(c.timeout)
	return c.collector.OnBody(data)
}

// collector is a Receiver that buffers a response of limited size.
type collector struct {
	maxBytes int
	response Response
}

// OnHead implements Receiver.
func (c *collector) OnHead(status int, header http.Header) error {
	c.response.Status, c.response.Header = status, header
	return nil
}

// OnBody implements Receiver.
func (c *collector) OnBody(data []byte) error {
	if len(c.response.Body)+len(data) > c.maxBytes {
		return ErrBodyTooLarge
	}
	c.response.Body = append(c.response.Body, data...)
	return nil
}

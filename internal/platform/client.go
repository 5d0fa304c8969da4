// Package platform reads the two values that the platform publishes, the configuration and the list of instances, and
// keeps the highest revision of each. Package platform at the root of the repository is independent of this one: it adapts
// the entry to the platform that it runs on.
package platform

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/engine"
)

// Kind is the name of a published value.
type Kind string

// The published values.
const (
	KindConfig    Kind = "config"
	KindInstances Kind = "instances"
)

// RevisionHeader is the response header with the revision of the value.
const RevisionHeader = "X-Revision"

// ReadTimeout is how much longer than the requested wait one exchange may take. The platform responds within
// milliseconds.
const ReadTimeout = 2 * time.Second

// Exchange sends one HTTP request; *engine.Client implements it.
type Exchange interface {
	Do(ctx context.Context, req engine.Request, beforeWrite func() error, receiver engine.Receiver) error
}

// ClientOptions configures a Client.
type ClientOptions struct {
	// Addresses lists the platform's IP:port addresses; there is at least one.
	Addresses []string
	// Exchange sends the requests.
	Exchange Exchange
	// Clock measures the timeouts.
	Clock clockwork.Clock
	// Rand selects the first address, so that controllers spread over the addresses.
	Rand *rand.Rand
}

// Client reads published values from the platform. It is safe for concurrent use.
type Client struct {
	options ClientOptions

	mu   sync.Mutex
	next int
}

// Value is one published value as the platform sent it.
type Value struct {
	// Revision is the revision in the response header. A store uses the revision inside Bytes.
	Revision uint64
	// Bytes holds at most config.MaxDocumentBytes+1 bytes. A longer value is truncated to that size, which the checks reject.
	Bytes []byte
	// Address is the platform address that sent the value.
	Address string
}

// AttemptError is the failure of a read from one address.
type AttemptError struct {
	Address string
	Err     error
}

// Error implements the error interface.
func (e *AttemptError) Error() string { return fmt.Sprintf("platform %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Err }

// ReadError reports that no address sent a valid response.
type ReadError struct {
	Kind     Kind
	Attempts []*AttemptError
}

// Error implements the error interface.
func (e *ReadError) Error() string {
	parts := make([]string, len(e.Attempts))
	for i, attempt := range e.Attempts {
		parts[i] = attempt.Error()
	}
	return fmt.Sprintf("read %s: %s", e.Kind, strings.Join(parts, "; "))
}

// StatusError is a response with an unexpected HTTP status.
type StatusError struct{ Status int }

// Error implements the error interface.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected status %d", e.Status) }

var (
	errRevisionHeader = errors.New("the response has no valid " + RevisionHeader)
	errTimeout        = errors.New("no complete response in time")
	errTooLarge       = errors.New("the value is too large")
)

// NewClient returns a client.
func NewClient(options ClientOptions) *Client {
	return &Client{options: options, next: options.Rand.IntN(len(options.Addresses))}
}

// Read requests a value with a revision above after. The platform may delay its response for up to wait (in whole seconds)
// until such a value is published. Read returns nil without an error if there is none, and a *ReadError if no address sent
// a valid response. The addresses are tried in turn. The next read begins at another address unless this read returned a
// value, so that an address with an old revision cannot keep the client from reading a newer one.
func (c *Client) Read(ctx context.Context, kind Kind, after uint64, wait time.Duration) (*Value, error) {
	failure := &ReadError{Kind: kind}
	for range c.options.Addresses {
		index, address := c.currentAddress()
		value, err := c.readFrom(ctx, address, kind, after, wait)
		if err == nil && value != nil {
			return value, nil
		}
		c.advanceFrom(index)
		if err == nil {
			return nil, nil
		}
		failure.Attempts = append(failure.Attempts, &AttemptError{Address: address, Err: err})
		if ctx.Err() != nil {
			break
		}
	}
	return nil, failure
}

func (c *Client) currentAddress() (int, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next, c.options.Addresses[c.next]
}

// advanceFrom selects the address after index, unless another read has already done so.
func (c *Client) advanceFrom(index int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == index {
		c.next = (index + 1) % len(c.options.Addresses)
	}
}

func (c *Client) readFrom(ctx context.Context, address string, kind Kind, after uint64, wait time.Duration) (
	*Value, error,
) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := c.options.Clock.AfterFunc(wait+ReadTimeout, func() { cancel(errTimeout) })
	defer timer.Stop()
	request := engine.Request{
		Method:  http.MethodGet,
		Target:  fmt.Sprintf("/v1/%s?after=%d&wait=%d", kind, after, int(wait.Seconds())),
		Address: address,
	}
	var response response
	err := c.options.Exchange.Do(ctx, request, nil, &response)
	if err != nil && context.Cause(ctx) == errTimeout {
		return nil, errTimeout
	}
	if err != nil && !errors.Is(err, errTooLarge) {
		return nil, err
	}
	switch response.status {
	case http.StatusNotModified:
		return nil, nil
	case http.StatusOK:
	default:
		return nil, &StatusError{Status: response.status}
	}
	revision, err := strconv.ParseUint(response.header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return nil, errRevisionHeader
	}
	if revision <= after {
		return nil, nil
	}
	return &Value{Revision: revision, Bytes: response.body, Address: address}, nil
}

// response collects one response. It fails if the body is longer than the maximum size of a value.
type response struct {
	status int
	header http.Header
	body   []byte
}

// OnHead implements engine.Receiver.
func (r *response) OnHead(status int, header http.Header) error {
	r.status, r.header = status, header
	return nil
}

// OnBody implements engine.Receiver.
func (r *response) OnBody(data []byte) error {
	space := config.MaxDocumentBytes + 1 - len(r.body)
	r.body = append(r.body, data[:min(len(data), space)]...)
	if len(r.body) > config.MaxDocumentBytes {
		return errTooLarge
	}
	return nil
}

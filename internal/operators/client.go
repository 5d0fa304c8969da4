// Package operators is a client of the operators' API of controllers.
package operators

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/acacialift/acacialift/internal/config"
	"github.com/acacialift/acacialift/internal/engine"
	"github.com/acacialift/acacialift/internal/status"
)

const (
	requestTimeout = 3 * time.Second
	// maxResponseBytes bounds one report. With 600 endpoints, a report has about 200 kB.
	maxResponseBytes = 8 << 20
)

// Response is the report of one instance, or the error if there is none.
type Response struct {
	Instance config.Instance
	Report   *status.Report
	Err      error
}

// StatusError is a response without a success status.
type StatusError struct {
	Address string
	Status  int
	Body    string
}

// Error implements the error interface.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s returned status %d: %s", e.Address, e.Status, strings.TrimSpace(e.Body))
}

// Client sends requests to the controllers of a deployment.
type Client struct {
	client *engine.Client
	key    string
}

// NewClient returns a client that authenticates with the given bearer key.
func NewClient(key string) *Client {
	return &Client{client: engine.NewClient(), key: key}
}

// StatusOfAll requests the status of all instances in parallel and returns the responses in list order.
func (c *Client) StatusOfAll(ctx context.Context, instances []config.Instance) []Response {
	responses := make([]Response, len(instances))
	var wg sync.WaitGroup
	for i := range instances {
		wg.Add(1)
		go func() {
			defer wg.Done()
			responses[i].Instance = instances[i]
			responses[i].Report, responses[i].Err = c.Status(ctx, instances[i].OperatorsAddress)
		}()
	}
	wg.Wait()
	return responses
}

// Status requests the status of one instance.
func (c *Client) Status(ctx context.Context, address string) (*status.Report, error) {
	body, err := c.do(ctx, http.MethodGet, "/status", address)
	if err != nil {
		return nil, err
	}
	var report status.Report
	if err := json.Unmarshal(body, &report); err != nil {
		return nil, fmt.Errorf("decode status of %s: %w", address, err)
	}
	return &report, nil
}

// Drain starts the graceful shutdown of one instance.
func (c *Client) Drain(ctx context.Context, address string) error {
	_, err := c.do(ctx, http.MethodPost, "/drain", address)
	return err
}

func (c *Client) do(ctx context.Context, method, target, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	header := http.Header{"Authorization": {"Bearer " + c.key}}
	request := engine.Request{Method: method, Target: target, Address: address, Header: header}
	response, err := c.client.Fetch(ctx, request, maxResponseBytes)
	if err != nil {
		return nil, err
	}
	if response.Status >= http.StatusMultipleChoices {
		return nil, &StatusError{Address: address, Status: response.Status, Body: string(response.Body)}
	}
	return response.Body, nil
}

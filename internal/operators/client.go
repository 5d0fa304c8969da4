// Package operators is the client of the operators' API.
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
	// maxAnswerBytes bounds one report; at 600 endpoints it is about 200 kB.
	maxAnswerBytes = 8 << 20
)

// Response is one instance's report, or the reason for which there is none.
type Response struct {
	Instance config.Instance
	Report   *status.Report
	Err      error
}

// StatusError is an answer other than 200.
type StatusError struct {
	Address string
	Status  int
	Body    string
}

// Error implements the error interface.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered %d: %s", e.Address, e.Status, strings.TrimSpace(e.Body))
}

// Client asks the controllers of a deployment.
type Client struct {
	exchange *engine.Client
	key      string
}

// NewClient returns a client that presents the given bearer key.
func NewClient(key string) *Client {
	return &Client{exchange: engine.NewClient(), key: key}
}

// StatusOfAll asks all instances at once and returns their answers in list order.
func (c *Client) StatusOfAll(ctx context.Context, instances []config.Instance) []Response {
	answers := make([]Response, len(instances))
	var wait sync.WaitGroup
	for i := range instances {
		wait.Add(1)
		go func() {
			defer wait.Done()
			answers[i].Instance = instances[i]
			answers[i].Report, answers[i].Err = c.Status(ctx, instances[i].OperatorsAddress)
		}()
	}
	wait.Wait()
	return answers
}

// Status asks one instance.
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

// Drain starts a planned stop of one instance.
func (c *Client) Drain(ctx context.Context, address string) error {
	_, err := c.do(ctx, http.MethodPost, "/drain", address)
	return err
}

func (c *Client) do(ctx context.Context, method, target, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	header := http.Header{"Authorization": {"Bearer " + c.key}}
	request := engine.Request{Method: method, Target: target, Address: address, Header: header}
	answer, err := c.exchange.Fetch(ctx, request, maxAnswerBytes)
	if err != nil {
		return nil, err
	}
	if answer.Status >= http.StatusMultipleChoices {
		return nil, &StatusError{Address: address, Status: answer.Status, Body: string(answer.Body)}
	}
	return answer.Body, nil
}

package engine

import (
	"context"
	"errors"
	"net/http"
)

// ErrBodyTooLarge means that an answer is longer than the caller of Fetch accepts.
var ErrBodyTooLarge = errors.New("answer is too large")

// Fetch sends the request and returns the status and the whole body, of at most maxBytes.
func (c *Client) Fetch(ctx context.Context, req Request, maxBytes int) (status int, body []byte, err error) {
	collected := collector{maxBytes: maxBytes}
	if err := c.Do(ctx, req, nil, &collected); err != nil {
		return 0, nil, err
	}
	return collected.status, collected.body, nil
}

// collector is a Receiver that keeps a small body.
type collector struct {
	maxBytes int
	status   int
	body     []byte
}

// OnHead implements Receiver.
func (c *collector) OnHead(status int, _ http.Header) error {
	c.status = status
	return nil
}

// OnBody implements Receiver.
func (c *collector) OnBody(data []byte) error {
	if len(c.body)+len(data) > c.maxBytes {
		return ErrBodyTooLarge
	}
	c.body = append(c.body, data...)
	return nil
}

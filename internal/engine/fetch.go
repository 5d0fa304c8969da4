package engine

import (
	"context"
	"errors"
	"net/http"
)

// ErrBodyTooLarge means that an answer is longer than the caller of Fetch accepts.
var ErrBodyTooLarge = errors.New("answer is too large")

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Fetch sends the request and returns the whole answer, with a body of at most maxBytes.
func (c *Client) Fetch(ctx context.Context, req Request, maxBytes int) (*Response, error) {
	collected := collector{maxBytes: maxBytes}
	if err := c.Do(ctx, req, nil, &collected); err != nil {
		return nil, err
	}
	return &collected.answer, nil
}

// collector is a Receiver that keeps a small body.
type collector struct {
	maxBytes int
	answer   Response
}

// OnHead implements Receiver.
func (c *collector) OnHead(status int, header http.Header) error {
	c.answer.Status, c.answer.Header = status, header
	return nil
}

// OnBody implements Receiver.
func (c *collector) OnBody(data []byte) error {
	if len(c.answer.Body)+len(data) > c.maxBytes {
		return ErrBodyTooLarge
	}
	c.answer.Body = append(c.answer.Body, data...)
	return nil
}

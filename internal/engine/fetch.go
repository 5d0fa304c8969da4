package engine

import (
	"context"
	"errors"
	"net/http"
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

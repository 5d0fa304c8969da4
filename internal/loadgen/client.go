package loadgen

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/acacialift/acacialift/internal/standin"
)

// client sends single attempts and checks their responses.
type client struct {
	options Options
	prompts *prompts
	http    *http.Client
}

// newClient returns a client that opens a connection for each attempt, because Go's transport retries some requests by
// itself when a reused connection breaks, and such retries would not be counted.
func newClient(o Options) *client {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &client{
		options: o,
		prompts: newPrompts(o),
		http:    &http.Client{Transport: transport, CheckRedirect: noRedirect},
	}
}

// attempt is a job that is sent once to one gateway.
type attempt struct {
	job     job
	gateway string
	// key is the Idempotency-Key of a booking.
	key string
}

// attempt sends an attempt and checks its response.
func (c *client) attempt(ctx context.Context, a attempt) attemptResult {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	request, err := c.newRequest(ctx, a)
	if err != nil {
		return attemptResult{outcome: OutcomeReset, stage: "connect", code: "request"}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return transportResult(err)
	}
	defer response.Body.Close()
	result := c.checkResponse(a, response)
	if result.outcome == OutcomeReset && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		result.code = "timeout"
	}
	return result
}

// transportResult returns the result of an attempt without a response. A failed dial has its own stage, because nothing
// was sent then.
func transportResult(err error) attemptResult {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return attemptResult{outcome: OutcomeReset, stage: "connect", code: "dial"}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return attemptResult{outcome: OutcomeReset, stage: "head", code: "timeout"}
	}
	return attemptResult{outcome: OutcomeReset, stage: "head", code: "read"}
}

func (c *client) newRequest(ctx context.Context, a attempt) (*http.Request, error) {
	method, path, body, length := c.content(a.job)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+a.gateway+path, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = length
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(c.options.TeamHeader, a.job.team)
	if a.job.profile != "" {
		request.Header.Set("X-Acacia-Profile", a.job.profile)
	}
	if budget := c.options.budget(a.job); budget > 0 {
		request.Header.Set("X-Acacia-Budget-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	}
	if a.key != "" {
		request.Header.Set("Idempotency-Key", a.key)
	}
	return request, nil
}

func (c *client) content(j job) (method, path string, body io.Reader, length int64) {
	switch j.kind {
	case kindRead:
		return http.MethodGet, "/services/" + c.options.Service + "/schedule/" + lawnID(j), nil, 0
	case kindBooking:
		booking := bookingBody(j)
		return http.MethodPost, "/services/" + c.options.Service + "/bookings", strings.NewReader(booking),
			int64(len(booking))
	default:
		body, length = c.prompts.body(j)
		path = "/v1/completions"
		if j.chat {
			path = "/v1/chat/completions"
		}
		return http.MethodPost, path, body, length
	}
}

func lawnID(j job) string { return fmt.Sprintf("lawn-%d", j.lawn) }

func bookingBody(j job) string { return fmt.Sprintf(`{"lawn":%q,"request":%d}`, lawnID(j), j.index) }

func (c *client) checkResponse(a attempt, response *http.Response) attemptResult {
	if response.StatusCode/100 != 2 {
		return checkError(response)
	}
	switch {
	case a.job.kind == kindRead:
		return checkJSON(response.Body, standin.ExpectedSchedule(lawnID(a.job)))
	case a.job.kind == kindBooking:
		booking := standin.ExpectedBooking(a.key, []byte(bookingBody(a.job)))
		return checkJSON(response.Body, standin.BookingResponse{Booking: booking, Key: a.key})
	case a.job.streaming:
		stream := &streamChecker{expected: c.prompts.expected(a.job), now: time.Now}
		return stream.run(response.Body)
	default:
		return checkCompletion(response.Body, c.prompts.expected(a.job))
	}
}

// checkJSON checks a response of the plain service, whose body must decode to the expected value.
func checkJSON[T comparable](body io.Reader, expected T) attemptResult {
	raw, err := io.ReadAll(body)
	if err != nil {
		return resetResult
	}
	var got T
	if err := json.Unmarshal(raw, &got); err != nil {
		return violationResult(ViolationLooksComplete, "the body ended early: %v", err)
	}
	if got != expected {
		return violationResult(ViolationWrongText, "got %+v instead of %+v", got, expected)
	}
	return attemptResult{outcome: OutcomeOK}
}

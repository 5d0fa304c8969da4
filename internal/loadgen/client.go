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

// client sends single attempts.
type client struct {
	options Options
	prompts *prompts
	http    *http.Client
}

// newClient returns a client that opens a connection for each attempt: Go's transport sends some requests again on its
// own when a kept connection breaks, which would hide repeats from the counts.
func newClient(o Options) *client {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &client{
		options: o,
		prompts: newPrompts(o),
		http:    &http.Client{Transport: transport, CheckRedirect: noRedirect},
	}
}

// attempt is one sending of a job.
type attempt struct {
	job     job
	gateway string
	// key is the Idempotency-Key of a booking.
	key string
}

// do sends the attempt and judges its answer.
func (c *client) do(ctx context.Context, a attempt) verdict {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	request, err := c.request(ctx, a)
	if err != nil {
		return verdict{outcome: OutcomeReset, stage: "connect", code: "request"}
	}
	answer, err := c.http.Do(request)
	if err != nil {
		return transportVerdict(err)
	}
	defer answer.Body.Close()
	v := c.check(a, answer)
	if v.outcome == OutcomeReset && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		v.code = "timeout"
	}
	return v
}

// transportVerdict tells attempts that sent nothing from those that may have been received.
func transportVerdict(err error) verdict {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return verdict{outcome: OutcomeReset, stage: "connect", code: "dial"}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return verdict{outcome: OutcomeReset, stage: "head", code: "timeout"}
	}
	return verdict{outcome: OutcomeReset, stage: "head", code: "read"}
}

func (c *client) request(ctx context.Context, a attempt) (*http.Request, error) {
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
		return http.MethodGet, "/services/" + c.options.Service + "/schedule/" + lawnName(j), nil, 0
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

func lawnName(j job) string { return fmt.Sprintf("lawn-%d", j.lawn) }

func bookingBody(j job) string { return fmt.Sprintf(`{"lawn":%q,"request":%d}`, lawnName(j), j.index) }

func (c *client) check(a attempt, answer *http.Response) verdict {
	if answer.StatusCode/100 != 2 {
		return checkError(answer)
	}
	switch {
	case a.job.kind == kindRead:
		return checkJSON(answer.Body, standin.ExpectedSchedule(lawnName(a.job)))
	case a.job.kind == kindBooking:
		booking := standin.ExpectedBooking(a.key, []byte(bookingBody(a.job)))
		return checkJSON(answer.Body, standin.BookingResponse{Booking: booking, Key: a.key})
	case a.job.streaming:
		stream := &streamCheck{expected: c.prompts.expected(a.job), now: time.Now}
		return stream.run(answer.Body)
	default:
		return checkWhole(answer.Body, c.prompts.expected(a.job))
	}
}

// checkJSON judges an answer of the plain service, which must decode to the expected value.
func checkJSON[T comparable](body io.Reader, expected T) verdict {
	raw, err := io.ReadAll(body)
	if err != nil {
		return resetVerdict
	}
	var got T
	if err := json.Unmarshal(raw, &got); err != nil {
		return violated(ViolationLooksComplete, "the body ended early: %v", err)
	}
	if got != expected {
		return violated(ViolationWrongText, "got %+v instead of %+v", got, expected)
	}
	return verdict{outcome: OutcomeOK}
}

package soak_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	host = "soak.example"
	// callerDeadline is the caller's time limit of a request, routeTimeout that of its route.
	callerDeadline   = 2500 * time.Millisecond
	routeTimeout     = 4 * time.Second
	meanSendInterval = 25 * time.Millisecond
	leaveFraction    = 0.06
	longFraction     = 0.1
)

var requestNumbers atomic.Int64

// caller sends requests one after another and reuses its connections.
type caller struct {
	deployment *deployment
	client     *http.Client
	random     *rand.Rand
}

func newCaller(d *deployment, seed uint64) *caller {
	return &caller{
		deployment: d,
		random:     rand.New(rand.NewPCG(seed, 1)),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 2, DisableCompression: true, ResponseHeaderTimeout: callerDeadline + time.Second,
		}},
	}
}

func (c *caller) sendAll(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.send(c.drawRequest())
		if !c.deployment.bursting.Load() {
			time.Sleep(time.Duration(c.random.Int64N(int64(2 * meanSendInterval))))
		}
	}
}

// drawRequest returns a request of a random kind to a random instance.
func (c *caller) drawRequest() *request {
	d := c.deployment
	q := &request{
		id: fmt.Sprintf("%s-%d", d.name, requestNumbers.Add(1)), deadline: callerDeadline, key: d.drawKey(c.random),
	}
	q.kind = []kind{
		kindIdempotent, kindNonIdempotent, kindNonIdempotent, kindResumable, kindNonResumable, kindVersion,
	}[c.random.IntN(6)]
	q.entry = c.random.IntN(len(d.entries))
	q.path = fmt.Sprintf("/%s/%s", q.kind, q.id)
	if q.kind == kindVersion {
		q.version = d.version()
		q.path = fmt.Sprintf("/v/%d/%s", q.version, q.id)
	}
	load := workload{time: time.Duration(c.random.IntN(40)) * time.Millisecond, events: 1 + c.random.IntN(12)}
	if c.random.Float64() < longFraction {
		load.time, load.padding = load.time+time.Duration(c.random.IntN(900))*time.Millisecond, 1+c.random.IntN(60_000)
	}
	q.body = load.String()
	return q
}

// send sends a request once and records the result.
func (c *caller) send(q *request) {
	entry := c.deployment.entries[q.entry]
	q.incarnation = entry.incarnation()
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline+time.Second)
	defer cancel()
	if c.random.Float64() < leaveFraction {
		q.callerLeft = true
		leave := time.AfterFunc(time.Duration(c.random.IntN(300))*time.Millisecond, cancel)
		defer leave.Stop()
	}
	// A body without GetBody keeps net/http from resending the request by itself.
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.callerLink.address()+q.path,
		io.MultiReader(strings.NewReader(q.body)))
	if err != nil {
		c.deployment.record.addFailure("request: " + err.Error())
		return
	}
	r.Host, r.ContentLength = host, int64(len(q.body))
	r.Header.Set("Acacialift-Request-Id", q.id)
	r.Header.Set("Acacialift-Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	r.Header.Set("Api-Key", q.key)
	q.sent = time.Now()
	c.deployment.record.update(func() { c.deployment.record.requests[q.id] = q })
	response := c.exchange(r)
	c.deployment.record.update(func() {
		q.ended = time.Now()
		q.status, q.responseBody, q.seal, q.complete = response.status, response.body, response.seal, response.complete
		if !errors.Is(response.err, context.Canceled) {
			q.callerLeft = false
		}
		if response.id != "" && response.id != q.id {
			c.deployment.record.failures = append(c.deployment.record.failures, "MIXED: response of "+response.id+" to "+q.id)
		}
	})
}

// callerResponse is what a caller received for one request.
type callerResponse struct {
	status         int
	id, seal, body string
	complete       bool
	err            error
}

func (c *caller) exchange(r *http.Request) callerResponse {
	response, err := c.client.Do(r)
	if err != nil {
		return callerResponse{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return callerResponse{
		status: response.StatusCode, id: response.Header.Get("Acacialift-Request-Id"),
		seal: response.Header.Get("Acacialift-Response-Seal"), body: string(body), complete: err == nil, err: err,
	}
}

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
	// callerDeadline and profileTime are the caller's and the profile's limits of a request.
	callerDeadline = 2500 * time.Millisecond
	profileTime    = 4 * time.Second
	callerPause    = 25 * time.Millisecond
	leaveShare     = 0.06
	longShare      = 0.1
)

var requestNumbers atomic.Int64

// caller sends one request after the other, over connections that it keeps.
type caller struct {
	world  *world
	client *http.Client
	random *rand.Rand
}

func newCaller(w *world, seed uint64) *caller {
	return &caller{
		world:  w,
		random: rand.New(rand.NewPCG(seed, 1)),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 2, DisableCompression: true, ResponseHeaderTimeout: callerDeadline + time.Second,
		}},
	}
}

func (c *caller) serve(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.send(c.draw())
		if !c.world.pressing.Load() {
			time.Sleep(time.Duration(c.random.Int64N(int64(2 * callerPause))))
		}
	}
}

// draw makes a request of a random kind to a random instance.
func (c *caller) draw() *request {
	w := c.world
	q := &request{id: fmt.Sprintf("%s-%d", w.name, requestNumbers.Add(1)), deadline: callerDeadline, key: w.drawKey(c.random)}
	q.kind = []kind{kindSafe, kindOnce, kindOnce, kindWords, kindTale, kindVersion}[c.random.IntN(6)]
	q.entry = c.random.IntN(len(w.entries))
	q.path = fmt.Sprintf("/%s/%s", q.kind, q.id)
	if q.kind == kindVersion {
		q.version = w.version()
		q.path = fmt.Sprintf("/v/%d/%s", q.version, q.id)
	}
	load := workload{time: time.Duration(c.random.IntN(40)) * time.Millisecond, events: 1 + c.random.IntN(12)}
	if c.random.Float64() < longShare {
		load.time, load.padding = load.time+time.Duration(c.random.IntN(900))*time.Millisecond, 1+c.random.IntN(60_000)
	}
	q.body = load.String()
	return q
}

// send sends a request once and notes what came of it.
func (c *caller) send(q *request) {
	entry := c.world.entries[q.entry]
	q.incarnation = entry.incarnation()
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline+time.Second)
	defer cancel()
	if c.random.Float64() < leaveShare {
		q.left = true
		leave := time.AfterFunc(time.Duration(c.random.IntN(300))*time.Millisecond, cancel)
		defer leave.Stop()
	}
	// A reader that cannot be read again keeps the client from sending the request twice.
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.link.address()+q.path, io.MultiReader(strings.NewReader(q.body)))
	if err != nil {
		c.world.record.fault("request: " + err.Error())
		return
	}
	r.Host, r.ContentLength = host, int64(len(q.body))
	r.Header.Set("Acacialift-Request-Id", q.id)
	r.Header.Set("Acacialift-Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	r.Header.Set("Api-Key", q.key)
	q.sent = time.Now()
	c.world.record.update(func() { c.world.record.requests[q.id] = q })
	answer := c.exchange(r)
	c.world.record.update(func() {
		q.ended = time.Now()
		q.status, q.text, q.seal, q.whole = answer.status, answer.text, answer.seal, answer.whole
		if !errors.Is(answer.err, context.Canceled) {
			q.left = false
		}
		if answer.id != "" && answer.id != q.id {
			c.world.record.faults = append(c.world.record.faults, "MIXED: answer of "+answer.id+" to "+q.id)
		}
	})
}

// answer is what a caller gets.
type answer struct {
	status         int
	id, seal, text string
	whole          bool
	err            error
}

func (c *caller) exchange(r *http.Request) answer {
	response, err := c.client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, id: response.Header.Get("Acacialift-Request-Id"),
		seal: response.Header.Get("Acacialift-Response-Seal"), text: string(body), whole: err == nil, err: err,
	}
}

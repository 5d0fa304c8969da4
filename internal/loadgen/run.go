package loadgen

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
)

// lateAfter is the delay from which a request counts as sent late.
const lateAfter = 50 * time.Millisecond

// Run sends the planned requests at their arrival times, whether or not earlier ones were answered, waits for all
// answers and returns the result. If the context ends, the run stops early and the result has Interrupted set.
func Run(ctx context.Context, options Options) (*Result, error) {
	if err := options.complete(); err != nil {
		return nil, err
	}
	r := &runner{
		options:  options,
		client:   newClient(options),
		recorder: newRecorder(),
		normal:   make(chan struct{}, options.MaxInFlight),
		long:     make(chan struct{}, options.MaxLongInFlight),
	}
	r.start = time.Now()
	started := r.sendAll(ctx, plan(options))
	r.wait.Wait()
	took := time.Since(r.start)
	interrupted := ctx.Err() != nil
	if !interrupted {
		if err := r.recorder.audit(ctx, options.Stats); err != nil {
			return nil, err
		}
	}
	return newResult(options, r.recorder, started, took, interrupted), nil
}

type runner struct {
	options  Options
	client   *client
	recorder *recorder
	start    time.Time
	wait     sync.WaitGroup
	// normal and long bound the concurrent requests; they are apart so that waiting long ones delay no short one.
	normal chan struct{}
	long   chan struct{}
}

// sendAll returns the number of requests that it started.
func (r *runner) sendAll(ctx context.Context, jobs []job) int {
	for i, j := range jobs {
		if !sleep(ctx, time.Until(r.start.Add(j.at))) {
			return i
		}
		r.wait.Go(func() { r.runJob(ctx, j) })
	}
	return len(jobs)
}

// runJob sends a job and, if it is to be sent again, its duplicate at the next gateway at the same time.
func (r *runner) runJob(ctx context.Context, j job) {
	key := ""
	if j.kind == kindBooking {
		key = r.newKey(j)
	}
	if j.kind == kindBooking && j.duplicate {
		copied := j
		copied.class.Name = ClassDuplicate
		r.wait.Go(func() { r.request(ctx, copied, j.index+1, key) })
	}
	r.request(ctx, j, j.index, key)
}

// newKey returns a UUIDv7 whose time is now and whose random part depends on the seed and the job.
func (r *runner) newKey(j job) string {
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(j.index)))
	var raw [16]byte
	for i := range raw {
		raw[i] = byte(random.Uint32())
	}
	// A reader of 16 bytes cannot fail.
	return uuid.Must(uuid.NewV7FromReader(bytes.NewReader(raw[:]))).String()
}

// request sends a job until it has a last verdict, beginning at the gateway with the given number.
func (r *runner) request(ctx context.Context, j job, gateway int, key string) {
	arrival := r.start.Add(j.at)
	slots := r.normal
	if j.class.Tokens > longClassTokens {
		slots = r.long
	}
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-slots }()
	if time.Since(arrival) > lateAfter {
		r.recorder.lateStart()
	}
	v := r.attemptAll(ctx, attempt{job: j, key: key}, gateway)
	if ctx.Err() != nil && v.outcome != OutcomeViolation {
		return
	}
	r.recorder.finished(j.class.Name, v, arrival, time.Now(), r.options.budget(j))
}

// attemptAll repeats an attempt at the next gateway, but only after a refusal that says that a repeat is safe and when.
func (r *runner) attemptAll(ctx context.Context, a attempt, gateway int) verdict {
	for repeat := 0; ; repeat++ {
		a.gateway = r.options.Gateways[(gateway+repeat)%len(r.options.Gateways)]
		v := r.client.do(ctx, a)
		r.recorder.attempted(a, v)
		if !mayRepeat(v) || repeat >= r.options.MaxRetries {
			return v
		}
		wait := min(time.Duration(v.final.RetryAfterMS)*time.Millisecond, r.options.MaxRetryAfter)
		if !sleep(ctx, wait) {
			return v
		}
		r.recorder.repeated()
	}
}

func mayRepeat(v verdict) bool {
	return v.final != nil && v.final.RetrySafe && v.final.RetryAfterMS > 0
}

// sleep returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

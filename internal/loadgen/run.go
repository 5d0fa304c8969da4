package loadgen

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
)

// lateThreshold is the delay above which a request is counted as sent late.
const lateThreshold = 50 * time.Millisecond

// Run sends the planned requests at their arrival times, without waiting for earlier responses, then waits for all
// responses and returns the result. If the context ends, the run stops early and the result has Interrupted set.
func Run(ctx context.Context, options Options) (*Result, error) {
	if err := options.prepare(); err != nil {
		return nil, err
	}
	r := &runner{
		options:    options,
		client:     newClient(options),
		recorder:   newRecorder(),
		shortSlots: make(chan struct{}, options.MaxInFlight),
		longSlots:  make(chan struct{}, options.MaxLongInFlight),
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
	// shortSlots and longSlots limit the concurrent requests. They are separate because waiting long requests must not
	// delay short ones.
	shortSlots chan struct{}
	longSlots  chan struct{}
}

// sendAll starts each job at its arrival time, and returns the number of jobs that it started.
func (r *runner) sendAll(ctx context.Context, jobs []job) int {
	for i, j := range jobs {
		if !sleep(ctx, time.Until(r.start.Add(j.at))) {
			return i
		}
		r.wait.Go(func() { r.runJob(ctx, j) })
	}
	return len(jobs)
}

// runJob sends a job and, if it has a duplicate, concurrently sends the duplicate to the next gateway.
func (r *runner) runJob(ctx context.Context, j job) {
	key := ""
	if j.kind == kindBooking {
		key = r.newKey(j)
	}
	if j.kind == kindBooking && j.duplicate {
		duplicate := j
		duplicate.class.Name = ClassDuplicate
		r.wait.Go(func() { r.request(ctx, duplicate, j.index+1, key) })
	}
	r.request(ctx, j, j.index, key)
}

// newKey returns a UUIDv7 with the current time and a random part that depends on the seed and the job only.
func (r *runner) newKey(j job) string {
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(j.index)))
	var raw [16]byte
	for i := range raw {
		raw[i] = byte(random.Uint32())
	}
	// Reading from 16 bytes in memory cannot fail.
	return uuid.Must(uuid.NewV7FromReader(bytes.NewReader(raw[:]))).String()
}

// request sends a job and its retries, starting with the gateway at the given index, and records the last result.
func (r *runner) request(ctx context.Context, j job, gateway int, key string) {
	arrival := r.start.Add(j.at)
	slots := r.shortSlots
	if j.class.Tokens > longClassTokens {
		slots = r.longSlots
	}
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-slots }()
	if time.Since(arrival) > lateThreshold {
		r.recorder.countLate()
	}
	result := r.attemptWithRetries(ctx, attempt{job: j, key: key}, gateway)
	if ctx.Err() != nil && result.outcome != OutcomeViolation {
		return
	}
	r.recorder.recordRequest(j.class.Name, result, arrival, time.Now(), r.options.budget(j))
}

// attemptWithRetries sends an attempt. It retries at the next gateway after a refusal with Retry-After whose body marks a
// retry as safe.
func (r *runner) attemptWithRetries(ctx context.Context, a attempt, gateway int) attemptResult {
	for retry := 0; ; retry++ {
		a.gateway = r.options.Gateways[(gateway+retry)%len(r.options.Gateways)]
		result := r.client.attempt(ctx, a)
		r.recorder.recordAttempt(a, result)
		if !isRetryable(result) || retry >= r.options.MaxRetries {
			return result
		}
		wait := min(time.Duration(result.errorBody.RetryAfterMS)*time.Millisecond, r.options.MaxRetryAfter)
		if !sleep(ctx, wait) {
			return result
		}
		r.recorder.countRetry()
	}
}

func isRetryable(result attemptResult) bool {
	return result.errorBody != nil && result.errorBody.RetrySafe && result.errorBody.RetryAfterMS > 0
}

// sleep waits for a duration, and returns false if the context ends first.
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

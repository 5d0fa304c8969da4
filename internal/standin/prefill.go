package standin

import (
	"context"
	"slices"
	"time"
)

// prefillChunkTokens is the unit in which prompts share the prefill rate.
const prefillChunkTokens = 512

// startPrefill queues the stream's prompt.
func (e *Engine) startPrefill(s *stream) {
	e.mu.Lock()
	if _, ok := e.streams[s]; ok {
		e.prefilling = append(e.prefilling, s)
	}
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// removePrefill takes a stream out of the queue. The caller holds the mutex.
func (e *Engine) removePrefill(s *stream) {
	e.prefilling = slices.DeleteFunc(e.prefilling, func(other *stream) bool { return other == s })
}

// runPrefill processes chunk after chunk. The clock advances by the chunks' durations and not by the sleeps' lengths,
// so that late wake-ups don't add up.
func (e *Engine) runPrefill(ctx context.Context) {
	clock := time.Now()
	for {
		s, chunk := e.nextChunk()
		if s == nil {
			select {
			case <-ctx.Done():
				return
			case <-e.wake:
			}
			clock = time.Now()
			continue
		}
		clock = clock.Add(e.prefillTime(chunk))
		if sleepUntil(ctx, clock) != nil {
			return
		}
		e.finishChunk(s, chunk)
	}
}

func (e *Engine) prefillTime(tokens int64) time.Duration {
	if e.options.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.options.PrefillRate * float64(time.Second))
}

// nextChunk picks the prompt with the highest priority; equal ones take turns.
func (e *Engine) nextChunk() (*stream, int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var best *stream
	for _, s := range e.prefilling {
		if best == nil || s.priority > best.priority {
			best = s
		}
	}
	if best == nil {
		return nil, 0
	}
	return best, min(best.prefillLeft, prefillChunkTokens)
}

func (e *Engine) finishChunk(s *stream, chunk int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.prefilling, s) {
		return
	}
	e.removePrefill(s)
	if e.applyPhaseFault(s) {
		return
	}
	s.prefillLeft -= chunk
	if s.prefillLeft > 0 {
		e.prefilling = append(e.prefilling, s)
		return
	}
	s.phase = PhaseDecode
	close(s.prefilled)
}

// sleepUntil returns the context's error if it ends first.
func sleepUntil(ctx context.Context, at time.Time) error {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

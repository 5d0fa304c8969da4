package standin

import (
	"context"
	"slices"
	"time"
)

// prefillChunkTokens is the number of tokens that are prefilled for one prompt before the next prompt is picked.
const prefillChunkTokens = 512

// startPrefill queues the stream for prefill.
func (e *Engine) startPrefill(s *stream) {
	e.mu.Lock()
	if _, ok := e.streams[s]; ok {
		e.prefillQueue = append(e.prefillQueue, s)
	}
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// dequeuePrefill removes a stream from the prefill queue. The caller holds the mutex.
func (e *Engine) dequeuePrefill(s *stream) {
	e.prefillQueue = slices.DeleteFunc(e.prefillQueue, func(other *stream) bool { return other == s })
}

// runPrefill prefills one chunk at a time. The clock advances by the duration of each chunk rather than by the actual
// sleep time, because late wake-ups would add up otherwise.
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

// nextChunk returns the stream with the highest priority and the size of its next chunk. Streams of equal priority are
// served round-robin.
func (e *Engine) nextChunk() (*stream, int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var best *stream
	for _, s := range e.prefillQueue {
		if best == nil || s.priority > best.priority {
			best = s
		}
	}
	if best == nil {
		return nil, 0
	}
	return best, min(best.prefillRemaining, prefillChunkTokens)
}

func (e *Engine) finishChunk(s *stream, chunk int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.prefillQueue, s) {
		return
	}
	e.dequeuePrefill(s)
	if e.applyPhaseFault(s) {
		return
	}
	s.prefillRemaining -= chunk
	if s.prefillRemaining > 0 {
		e.prefillQueue = append(e.prefillQueue, s)
		return
	}
	s.phase = PhaseDecode
	close(s.prefillDone)
}

// sleepUntil waits until the given time. It returns the context's error if the context ends first.
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

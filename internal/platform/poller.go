package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
)

const (
	// roleCheckPeriod is the interval at which a controller checks whether it has become a watcher.
	roleCheckPeriod = time.Second
	// minWatchInterval is the minimum interval between reads of a watcher. It bounds the read rate if the platform responds to
	// watches without delay.
	minWatchInterval = time.Second
	// rejectedDelay is the maximum delay of a watcher after it has read a rejected value; the minimum is half of it. Until the
	// value is corrected, the platform responds to each read with it at once.
	rejectedDelay = 2 * time.Second
)

// Offerer accepts values that were read; *Store implements it.
type Offerer interface {
	Offer(data []byte, source string) (Verdict, error)
	Revision() uint64
}

// PollerOptions configures a Poller.
type PollerOptions struct {
	Kind   Kind
	Client *Client
	Store  Offerer
	// Watching reports whether this controller is currently a watcher; see IsWatcher.
	Watching func() bool
	Clock    clockwork.Clock
	// Rand adds jitter to reads and retries. It must not be shared between pollers.
	Rand *rand.Rand
	Log  zerolog.Logger
}

// Poller keeps a store up to date with the platform: by consecutive watches if this controller is a watcher, otherwise by
// one read every SlowReadPeriod on average.
type Poller struct {
	options PollerOptions
	backoff backoff
}

// NewPoller returns a poller.
func NewPoller(options PollerOptions) *Poller {
	return &Poller{options: options, backoff: backoff{rand: options.Rand}}
}

// Serve reads until the context ends. It implements suture.Service.
func (p *Poller) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		delay, slow := p.readOnce(ctx)
		if err := p.wait(ctx, delay, slow); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// readOnce reads the value and offers it to the store. It returns the delay before the next read, and whether the delay is
// that of a slow read, which ends early if the controller becomes a watcher.
func (p *Poller) readOnce(ctx context.Context) (delay time.Duration, slow bool) {
	watching := p.options.Watching()
	wait := time.Duration(0)
	if watching {
		wait = WatchPeriod
	}
	start := p.options.Clock.Now()
	value, err := p.options.Client.Read(ctx, p.options.Kind, p.options.Store.Revision(), wait)
	if err != nil {
		delay = p.backoff.next()
		p.options.Log.Warn().Str("kind", string(p.options.Kind)).Dur("retry_in", delay).Err(err).
			Msg("platform not read")
		return delay, false
	}
	p.backoff.reset()
	verdict := Same
	if value != nil {
		verdict = p.offer(value)
	}
	switch {
	case !watching:
		return jitter(p.options.Rand, SlowReadPeriod*3/4, SlowReadPeriod*5/4), true
	case verdict == Rejected:
		return jitter(p.options.Rand, rejectedDelay/2, rejectedDelay), false
	default:
		return max(0, minWatchInterval-p.options.Clock.Since(start)), false
	}
}

func (p *Poller) offer(value *Value) Verdict {
	source := "platform " + value.Address
	verdict, err := p.options.Store.Offer(value.Bytes, source)
	event := p.options.Log.Info()
	if verdict != Accepted {
		event = p.options.Log.Warn().Err(err)
	}
	event.Str("kind", string(p.options.Kind)).Str("source", source).Uint64("stated_revision", value.Revision).
		Str("verdict", string(verdict)).Uint64("revision", p.options.Store.Revision()).Msg("published value read")
	return verdict
}

func (p *Poller) wait(ctx context.Context, delay time.Duration, slow bool) error {
	end := p.options.Clock.Now().Add(delay)
	for remaining := delay; remaining > 0; remaining = p.options.Clock.Until(end) {
		if slow && p.options.Watching() {
			return nil
		}
		if slow {
			remaining = min(remaining, roleCheckPeriod)
		}
		timer := p.options.Clock.NewTimer(remaining)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.Chan():
		}
	}
	return nil
}

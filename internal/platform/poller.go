package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
)

const (
	// roleCheckPeriod is how soon a controller notices that it became a watcher.
	roleCheckPeriod = time.Second
	// minWatchInterval bounds the reads of a watcher whose watches end at once.
	minWatchInterval = time.Second
	// rejectedDelay bounds how often a watcher reads a rejected value again while waiting for its correction.
	rejectedDelay = 2 * time.Second
)

// Offerer takes values that were read; *Store implements it.
type Offerer interface {
	Offer(data []byte, source string) (Verdict, error)
	Revision() uint64
}

// PollerOptions configures a Poller.
type PollerOptions struct {
	Kind   Kind
	Client *Client
	Store  Offerer
	// Watching tells whether this controller holds a watch now; see IsWatcher.
	Watching func() bool
	Clock    clockwork.Clock
	// Rand spreads reads and retries; it must not be shared between pollers.
	Rand *rand.Rand
	Log  zerolog.Logger
}

// Poller keeps a store up to date from the platform: by a waiting watch, or by a slow read every minute.
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
		if err := p.pause(ctx, delay, slow); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// readOnce reads and offers the value. It returns the delay before the next read and whether that is a slow one, which
// becoming a watcher cuts short.
func (p *Poller) readOnce(ctx context.Context) (delay time.Duration, slow bool) {
	watching := p.options.Watching()
	wait := time.Duration(0)
	if watching {
		wait = WatchPeriod
	}
	begin := p.options.Clock.Now()
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
		return max(0, minWatchInterval-p.options.Clock.Since(begin)), false
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

func (p *Poller) pause(ctx context.Context, delay time.Duration, slow bool) error {
	end := p.options.Clock.Now().Add(delay)
	for left := delay; left > 0; left = p.options.Clock.Until(end) {
		if slow && p.options.Watching() {
			return nil
		}
		if slow {
			left = min(left, roleCheckPeriod)
		}
		timer := p.options.Clock.NewTimer(left)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.Chan():
		}
	}
	return nil
}

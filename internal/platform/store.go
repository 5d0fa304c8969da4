package platform

import (
	"bytes"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/acacialift/acacialift/internal/config"
)

// Verdict is the decision of a Store about an offered value.
type Verdict string

// The verdicts of a store.
const (
	// Accepted means that the value has a higher revision and is in force.
	Accepted Verdict = "accepted"
	// Same means that the value is identical to the value in force.
	Same Verdict = "same"
	// Older means that the value has a lower revision than the value in force.
	Older Verdict = "older"
	// Conflict means that the value has the revision of the value in force, but different bytes.
	Conflict Verdict = "conflict"
	// Rejected means that the value is invalid: its check has findings.
	Rejected Verdict = "rejected"
)

// Snapshot is a value in force. It is immutable.
type Snapshot[T any] struct {
	Value    T
	Revision uint64
	// Bytes is the value as published; it must not be changed.
	Bytes []byte
	// Source identifies who offered the value, such as "platform 10.0.0.1:80" or "peer".
	Source string
	// AcceptedAt is the time at which the value came into force on this instance.
	AcceptedAt time.Time
}

// Rejection is an offered value that is invalid.
type Rejection struct {
	// Bytes holds at most the first config.MaxDocumentBytes of the value.
	Bytes []byte
	// Truncated is true if the value was longer than Bytes.
	Truncated bool
	Source    string
	At        time.Time
	Err       error
}

// RevisionConflict is an offered value that has the revision of the value in force, but different bytes.
type RevisionConflict struct {
	Revision uint64
	Source   string
	At       time.Time
}

// Status describes a store to operators.
type Status struct {
	// Revision is 0 if no value is in force.
	Revision uint64
	Source   string
	// Age is the time since the value came into force on this instance.
	Age time.Duration
	// Rejection is the most recently rejected value, or nil.
	Rejection *Rejection
	// Conflict is the most recent conflict with the revision in force, or nil.
	Conflict *RevisionConflict
}

// Store holds the highest valid revision of one published value. The revision in force never decreases. Store is safe for
// concurrent use.
type Store[T any] struct {
	parse func([]byte) (T, uint64, error)
	clock clockwork.Clock

	// offerMu is held while an offer is processed, including the parsing.
	offerMu sync.Mutex

	mu          sync.Mutex
	current     *Snapshot[T]
	rejection   *Rejection
	conflict    *RevisionConflict
	subscribers map[chan struct{}]struct{}
}

// NewConfigStore returns an empty store of the configuration.
func NewConfigStore(clock clockwork.Clock) *Store[*config.Index] {
	return newStore(clock, func(data []byte) (*config.Index, uint64, error) {
		index, err := config.Parse(data)
		if err != nil {
			return nil, 0, err
		}
		return index, index.Revision(), nil
	})
}

// NewInstancesStore returns an empty store of the instance list.
func NewInstancesStore(clock clockwork.Clock) *Store[*config.InstanceList] {
	return newStore(clock, func(data []byte) (*config.InstanceList, uint64, error) {
		list, err := config.ParseInstances(data)
		if err != nil {
			return nil, 0, err
		}
		return list, list.Revision, nil
	})
}

func newStore[T any](clock clockwork.Clock, parse func([]byte) (T, uint64, error)) *Store[T] {
	return &Store[T]{parse: parse, clock: clock, subscribers: make(map[chan struct{}]struct{})}
}

// Offer checks a value and puts it in force if its revision is the highest so far. The caller must not change data
// afterwards. The error is non-nil only with the verdict Rejected, and is then a *config.FindingsError.
func (s *Store[T]) Offer(data []byte, source string) (Verdict, error) {
	// One value is parsed at a time. Several peers and the platform may offer the same new value at once, and parsing a
	// large value takes tens of megabytes of memory.
	s.offerMu.Lock()
	defer s.offerMu.Unlock()
	if verdict, err, known := s.knownVerdict(data, source); known {
		return verdict, err
	}
	// The value is parsed without holding mu, because parsing takes up to tenths of a second.
	value, revision, err := s.parse(data)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		s.reject(data, source, err)
		return Rejected, err
	case s.current == nil || revision > s.current.Revision:
		s.accept(&Snapshot[T]{
			Value: value, Revision: revision, Bytes: data, Source: source, AcceptedAt: s.clock.Now(),
		})
		return Accepted, nil
	case revision < s.current.Revision:
		return Older, nil
	case bytes.Equal(data, s.current.Bytes):
		return Same, nil
	default:
		s.conflict = &RevisionConflict{Revision: revision, Source: source, At: s.clock.Now()}
		return Conflict, nil
	}
}

// knownVerdict returns the verdict without parsing the value, if the value is in force or was the last one rejected.
func (s *Store[T]) knownVerdict(data []byte, source string) (verdict Verdict, err error, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil && bytes.Equal(data, s.current.Bytes) {
		return Same, nil, true
	}
	if s.rejection != nil && !s.rejection.Truncated && bytes.Equal(data, s.rejection.Bytes) {
		s.reject(data, source, s.rejection.Err)
		return Rejected, s.rejection.Err, true
	}
	return "", nil, false
}

func (s *Store[T]) reject(data []byte, source string, err error) {
	kept := data[:min(len(data), config.MaxDocumentBytes)]
	s.rejection = &Rejection{Bytes: kept, Truncated: len(kept) < len(data), Source: source, At: s.clock.Now(), Err: err}
}

func (s *Store[T]) accept(snapshot *Snapshot[T]) {
	s.current = snapshot
	s.conflict = nil
	for subscriber := range s.subscribers {
		select {
		case subscriber <- struct{}{}:
		default:
		}
	}
}

// Current returns the value in force, or nil.
func (s *Store[T]) Current() *Snapshot[T] {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Revision returns the revision in force, or 0.
func (s *Store[T]) Revision() uint64 {
	if current := s.Current(); current != nil {
		return current.Revision
	}
	return 0
}

// Status returns the state of the store for operators.
func (s *Store[T]) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := Status{Rejection: s.rejection, Conflict: s.conflict}
	if s.current != nil {
		status.Revision = s.current.Revision
		status.Source = s.current.Source
		status.Age = s.clock.Since(s.current.AcceptedAt)
	}
	return status
}

// Subscribe returns a channel that receives a signal after each accepted value. Several values may share one signal. The
// channel is never closed. cancel ends the subscription.
func (s *Store[T]) Subscribe() (signal <-chan struct{}, cancel func()) {
	subscriber := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers[subscriber] = struct{}{}
	return subscriber, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscribers, subscriber)
	}
}

package entry

import (
	"sync"
	"time"

	"github.com/acacialift/acacialift/internal/engine"
)

// memoryLease is what is known of how long an endpoint has held reserved memory of an attempt. All times are boot-times, because the
// endpoint's lease goes on while this instance stands still. It is safe for concurrent use.
type memoryLease struct {
	Reservation

	// sending is held while a control request is sent. It guards link and isReleased.
	sending sync.Mutex
	link    processLink
	// isReleased is true once the memory was released.
	isReleased bool

	mu sync.Mutex
	// confirmed is the time immediately before the last confirmed renewal was sent; the endpoint holds the memory for reservationTime from
	// then on at least.
	confirmed time.Duration
	// isLapsed is true once the memory may have been freed. A later renewal then makes a new reservation under the same id, and does
	// not bring back what the memory held.
	isLapsed bool
}

func newMemoryLease(client *engine.Client, r Reservation) *memoryLease {
	return &memoryLease{Reservation: r, link: processLink{client: client}}
}

// observeReserved records that the endpoint has confirmed the reservation, which was requested at a time.
func (l *memoryLease) observeReserved(sent time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirmed = sent
}

// observeRenewed records a renewal that was sent at a time and is confirmed now. It returns how long the lease had not been renewed.
func (l *memoryLease) observeRenewed(sent, now time.Duration) (gap time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	gap = now - l.confirmed
	l.isLapsed = l.isLapsed || gap >= reservationTime
	l.confirmed = sent
	return gap
}

// observeRefused records a renewal that the endpoint has refused: it does not hold the memory.
func (l *memoryLease) observeRefused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isLapsed = true
}

// mayHaveLapsed reports whether the memory may have been freed until now.
func (l *memoryLease) mayHaveLapsed(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isLapsed || now-l.confirmed >= reservationTime
}

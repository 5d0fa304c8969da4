package entry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/acacialift/acacialift/internal/testkit"
)

// modelHolder is an endpoint that holds reserved memory until its lease expires.
type modelHolder struct {
	until time.Duration
	// wasFreed is true once the memory was freed although the attempt went on.
	wasFreed bool
}

// expire frees the memory if the lease has ended.
func (h *modelHolder) expire(now time.Duration) { h.wasFreed = h.wasFreed || now >= h.until }

// renew renews the lease, or makes a new reservation if there is none.
func (h *modelHolder) renew(now time.Duration) { h.until = now + reservationTime }

// TestLapsedLeasesAreNoticed guards against the part of a stream that looks whole: its memory expired while this instance, a connection or
// the endpoint stood still, and a later renewal made a new reservation under the same id (review/12). Requests and responses of renewals take any
// time, and may be lost. It also guards against sound streams that are broken off although each renewal was in time.
func TestLapsedLeasesAreNoticed(t *testing.T) {
	testkit.FixRapidSeed()
	rapid.Check(t, func(t *rapid.T) {
		now := time.Hour
		holder := &modelHolder{}
		pass := func(label string) {
			now += rapid.SampledFrom([]time.Duration{0, time.Millisecond, 300 * time.Millisecond, time.Second, 2900 * time.Millisecond, 4 * time.Second}).Draw(t, label)
		}
		sent := now
		holder.renew(now)
		pass("response of the reservation")
		lease := &memoryLease{}
		lease.observeReserved(sent)
		longest := now - sent
		confirmed := sent
		for range rapid.IntRange(0, 12).Draw(t, "renewals") {
			pass("interval")
			renewalSent := now
			pass("request of a renewal")
			holder.expire(now)
			holder.renew(now)
			pass("response of a renewal")
			if !rapid.Bool().Draw(t, "response is lost") {
				longest = max(longest, now-confirmed)
				confirmed = renewalSent
				lease.observeRenewed(renewalSent, now)
			}
		}
		holder.expire(now)
		longest = max(longest, now-confirmed)
		if holder.wasFreed && !lease.mayHaveLapsed(now) {
			t.Fatalf("the memory was freed and the lease counts as held; longest time without a renewal %v", longest)
		}
		if longest < reservationTime && lease.mayHaveLapsed(now) {
			t.Fatalf("all renewals were confirmed within %v, and the lease counts as lapsed", longest)
		}
	})
}

// TestRefusedRenewalEndsLease guards against a new reservation under the same id that is taken for the one that the endpoint no longer had.
func TestRefusedRenewalEndsLease(t *testing.T) {
	lease := &memoryLease{}
	lease.observeReserved(time.Hour)
	lease.observeRefused()
	lease.observeRenewed(time.Hour+time.Second, time.Hour+time.Second)
	if !lease.mayHaveLapsed(time.Hour + time.Second) {
		t.Fatal("the lease counts as held after a refused renewal")
	}
}

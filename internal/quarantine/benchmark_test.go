package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/acacialift/acacialift/internal/quarantine"
)

// trackerWithParts returns a tracker with evidence about a number of parts, none of which is in quarantine.
func trackerWithParts(count int) *quarantine.Tracker {
	t := quarantine.NewTracker()
	for i := range count {
		t.ObserveCrash(shared(quarantine.Part(1000+i)), waiting(uint32(i)), start)
	}
	return t
}

// BenchmarkRequest measures what a request costs that is served: the cost must not grow with the number of parts with evidence.
func BenchmarkRequest(b *testing.B) {
	for _, count := range []int{0, 32, 1024} {
		b.Run(fmt.Sprintf("parts=%d", count), func(b *testing.B) {
			t := trackerWithParts(count)
			prompt := quarantine.Prompt{Shared: []quarantine.Part{systemPart, otherPart}, Own: newPart}
			for b.Loop() {
				stop, _ := t.Watch(prompt, start, func(quarantine.Part, time.Duration) {})
				t.ObserveServed(prompt, start)
				stop()
			}
		})
	}
}

// BenchmarkCrash measures what a crash costs, which is new evidence about two parts.
func BenchmarkCrash(b *testing.B) {
	for _, count := range []int{0, 32, 1000} {
		b.Run(fmt.Sprintf("parts=%d", count), func(b *testing.B) {
			t := trackerWithParts(count)
			prompt := quarantine.Prompt{Shared: []quarantine.Part{systemPart, otherPart}, Own: newPart}
			endpoint := uint32(1 << 20)
			for b.Loop() {
				endpoint++
				t.ObserveCrash(prompt, responding(endpoint), start)
			}
		})
	}
}

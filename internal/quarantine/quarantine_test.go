package quarantine_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/acacialift/acacialift/internal/quarantine"
	"github.com/acacialift/acacialift/internal/testkit"
)

func TestQuarantine(t *testing.T) { testkit.RunSpecs(t, "quarantine") }

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

const (
	systemPart = quarantine.Part(0xa1979a9a31e)
	crashPart  = quarantine.Part(0x12ca9047f126)
	otherPart  = quarantine.Part(0x4d719d55fb1e)
)

// shared is a prompt without a part of its own.
func shared(parts ...quarantine.Part) quarantine.Prompt { return quarantine.Prompt{Shared: parts} }

// isQuarantined reports whether requests with the part, and no other one, are refused, except trials.
func isQuarantined(t *quarantine.Tracker, part quarantine.Part, now time.Time) bool {
	return areQuarantined(t, now, part)
}

// areQuarantined reports whether requests with the parts are refused, except trials.
func areQuarantined(t *quarantine.Tracker, now time.Time, parts ...quarantine.Part) bool {
	_, found := t.Quarantined(shared(parts...), now)
	return found
}

// isAdmitted reports whether a request with the parts that comes at this time is let through.
func isAdmitted(t *quarantine.Tracker, now time.Time, parts ...quarantine.Part) bool {
	refused := false
	stop, _ := t.Watch(shared(parts...), now, func(quarantine.Part, time.Duration) { refused = true })
	stop()
	return !refused
}

// responding is a crash at the begin of a response.
func responding(endpoint uint32) quarantine.Crash {
	return quarantine.Crash{Endpoint: endpoint, Responding: true}
}

func waiting(endpoint uint32) quarantine.Crash { return quarantine.Crash{Endpoint: endpoint} }

var _ = Describe("a part under which each endpoint crashes", func() {
	// Guards against a part that goes on crashing endpoints, and against sound requests with the same first part that are
	// refused: the first part is at every crash too, and may not be served in between.
	It("is in quarantine after two crashes, and the part before it is not", func() {
		t := quarantine.NewTracker()
		t.ObserveServed(shared(systemPart), start)
		now := start
		for endpoint := range uint32(2) {
			Expect(isQuarantined(t, crashPart, now)).To(BeFalse())
			now = now.Add(time.Second)
			t.ObserveCrash(shared(systemPart, crashPart), responding(endpoint), now)
		}
		Expect(isQuarantined(t, crashPart, now)).To(BeTrue())
		for endpoint := range uint32(10) {
			now = now.Add(time.Second)
			t.ObserveCrash(shared(systemPart, crashPart), responding(100+endpoint), now)
		}
		Expect(isQuarantined(t, systemPart, now)).To(BeFalse())
		Expect(isQuarantined(t, crashPart, now)).To(BeTrue())
	})

	// Guards against a fleet that has just started and has served no request with the first part yet: the requests that crash endpoints
	// are refused, and those with one of the two parts are not, because it may be the other one.
	It("is refused with the part before it if neither has been served", func() {
		t := quarantine.NewTracker()
		for endpoint := range uint32(5) {
			t.ObserveCrash(shared(systemPart, crashPart), responding(endpoint), start)
		}
		Expect(areQuarantined(t, start, systemPart, crashPart)).To(BeTrue())
		Expect(areQuarantined(t, start, systemPart, otherPart)).To(BeFalse())
		Expect(areQuarantined(t, start, otherPart, crashPart)).To(BeFalse())
		t.ObserveServed(shared(systemPart, otherPart), start)
		Expect(isQuarantined(t, crashPart, start)).To(BeTrue())
		Expect(isQuarantined(t, systemPart, start)).To(BeFalse())
	})

	// Guards against endpoints that crash before they send a head, and against more than five of them.
	It("is in quarantine after five crashes of endpoints where requests with it were waiting", func() {
		t := quarantine.NewTracker()
		for endpoint := range uint32(5) {
			Expect(isQuarantined(t, crashPart, start)).To(BeFalse())
			t.ObserveCrash(shared(crashPart), waiting(endpoint), start)
		}
		Expect(isQuarantined(t, crashPart, start)).To(BeTrue())
	})

	// Guards against several requests at one endpoint that count as several crashes.
	It("is not concluded from one crash that several requests have observed", func() {
		t := quarantine.NewTracker()
		for range 10 {
			t.ObserveCrash(shared(crashPart), responding(1), start)
		}
		Expect(isQuarantined(t, crashPart, start)).To(BeFalse())
	})

	// Guards against a part that became harmful later, for example with a new version of the engine, and is never found.
	It("is found although it has been served before", func() {
		t := quarantine.NewTracker()
		t.ObserveServed(shared(crashPart), start)
		for endpoint := range uint32(4) {
			t.ObserveCrash(shared(crashPart), responding(endpoint), start.Add(time.Duration(endpoint)*time.Second))
		}
		Expect(isQuarantined(t, crashPart, start.Add(4*time.Second))).To(BeTrue())
	})

	// Guards against a quarantine without end, and against several crashes before the next one.
	It("gets another chance after an hour, and one crash suffices for the next quarantine", func() {
		t := quarantine.NewTracker()
		for endpoint := range uint32(3) {
			t.ObserveCrash(shared(crashPart), responding(endpoint), start)
		}
		Expect(isQuarantined(t, crashPart, start.Add(59*time.Minute))).To(BeTrue())
		later := start.Add(61 * time.Minute)
		Expect(isQuarantined(t, crashPart, later)).To(BeFalse())
		Expect(t.Forget(later)).To(HaveLen(1))
		t.ObserveCrash(shared(crashPart), responding(9), later)
		Expect(isQuarantined(t, crashPart, later)).To(BeTrue())
	})
})

var _ = Describe("a part that is at crashes by chance", func() {
	// Guards against a sound part that is refused because endpoints crash for another reason.
	It("is acquitted when a request with it is served", func() {
		t := quarantine.NewTracker()
		t.ObserveServed(shared(otherPart), start)
		for endpoint := range uint32(20) {
			now := start.Add(time.Duration(endpoint) * time.Second)
			t.ObserveCrash(shared(otherPart), responding(endpoint), now)
			Expect(isQuarantined(t, otherPart, now)).To(BeFalse())
			if endpoint%2 == 1 {
				t.ObserveServed(shared(otherPart), now)
			}
		}
	})

	// Guards against a shared part that is refused because a domain has lost power and took many endpoints at the same moment.
	It("is not refused after the crash of many endpoints at once if it has been served before", func() {
		t := quarantine.NewTracker()
		t.ObserveServed(shared(systemPart), start)
		for endpoint := range uint32(20) {
			now := start.Add(time.Duration(endpoint) * 50 * time.Millisecond)
			t.ObserveCrash(shared(systemPart), responding(endpoint), now)
			t.ObserveCrash(shared(systemPart), waiting(100+endpoint), now)
			Expect(isQuarantined(t, systemPart, now)).To(BeFalse())
		}
	})

	// Guards against a part in quarantine that stays there although another instance has served it.
	It("is released when a request with it is served", func() {
		t := quarantine.NewTracker()
		for endpoint := range uint32(3) {
			t.ObserveCrash(shared(otherPart), responding(endpoint), start)
		}
		Expect(isQuarantined(t, otherPart, start)).To(BeTrue())
		changes := t.ObserveServed(shared(otherPart), start)
		Expect(changes).To(HaveLen(1))
		Expect(changes[0].Quarantined).To(BeFalse())
		Expect(isQuarantined(t, otherPart, start)).To(BeFalse())
	})

	// Guards against a retry that takes the crash to the next endpoint, and against one that is withheld without need.
	It("is suspect after one crash until it has been served", func() {
		t := quarantine.NewTracker()
		t.ObserveServed(shared(systemPart), start)
		t.ObserveCrash(shared(systemPart, crashPart), responding(1), start)
		part, found := t.Suspect(shared(systemPart, crashPart), start)
		Expect(found).To(BeTrue())
		Expect(part).To(Equal(crashPart))
		_, found = t.Suspect(shared(systemPart, otherPart), start)
		Expect(found).To(BeFalse())
		t.ObserveServed(shared(crashPart), start)
		_, found = t.Suspect(shared(crashPart), start)
		Expect(found).To(BeFalse())
	})

	// Guards against requests that were only waiting at a crashed endpoint and are not sent to another one.
	It("is suspect after the second crash if requests with it were only waiting", func() {
		t := quarantine.NewTracker()
		for endpoint := range uint32(2) {
			_, found := t.Suspect(shared(otherPart), start)
			Expect(found).To(BeFalse())
			t.ObserveCrash(shared(otherPart), waiting(endpoint), start)
		}
		_, found := t.Suspect(shared(otherPart), start)
		Expect(found).To(BeTrue())
	})
})

var _ = Describe("a request whose prompt has a part", func() {
	// Guards against requests that wait until their deadline although it is known that they will not be served.
	It("is notified once when the quarantine begins, unless it has ended", func() {
		t := quarantine.NewTracker()
		notified := make(map[string]int)
		watch := func(name string, parts ...quarantine.Part) func() {
			stop, trial := t.Watch(shared(parts...), start, func(part quarantine.Part, left time.Duration) {
				Expect(part).To(Equal(crashPart))
				Expect(left).To(Equal(5 * time.Second))
				notified[name]++
			})
			Expect(trial).To(BeZero())
			return stop
		}
		defer watch("waiting", systemPart, crashPart)()
		defer watch("sound", systemPart, otherPart)()
		watch("ended", crashPart)()
		t.ObserveServed(shared(systemPart), start)
		for endpoint := range uint32(6) {
			t.ObserveCrash(shared(systemPart, crashPart), responding(endpoint), start)
		}
		Expect(notified).To(Equal(map[string]int{"waiting": 1}))
	})
})

var _ = Describe("the evidence of several instances", func() {
	all := func(t *quarantine.Tracker, now time.Time) []quarantine.Evidence { return t.Evidence(0, 1000, now) }

	// Guards against instances that judge by their own requests alone: each has seen one crash.
	It("is judged together, also by an instance that has started later", func() {
		instances := []*quarantine.Tracker{quarantine.NewTracker(), quarantine.NewTracker(), quarantine.NewTracker()}
		for i, t := range instances {
			t.ObserveCrash(shared(systemPart, crashPart), responding(uint32(i)), start)
		}
		started := quarantine.NewTracker()
		for _, t := range instances {
			started.Merge(all(t, start), start)
		}
		Expect(areQuarantined(started, start, systemPart, crashPart)).To(BeTrue())
	})

	// Guards against a sound part that is refused by instances that have not served it themselves.
	It("contains that a part has been served by another instance", func() {
		a, b := quarantine.NewTracker(), quarantine.NewTracker()
		a.ObserveServed(shared(otherPart), start)
		b.ObserveCrash(shared(otherPart), responding(1), start)
		a.Merge(all(b, start), start)
		b.Merge(all(a, start), start)
		_, found := b.Suspect(shared(otherPart), start)
		Expect(found).To(BeFalse())
	})

	// Guards against messages between instances that never end because each message counts as new evidence.
	It("does not change when it returns with a delay", func() {
		a, b := quarantine.NewTracker(), quarantine.NewTracker()
		a.ObserveCrash(shared(crashPart), responding(1), start)
		b.Merge(all(a, start), start.Add(time.Second))
		changes := a.Changes()
		a.Merge(all(b, start.Add(2*time.Second)), start.Add(3*time.Second))
		Expect(a.Changes()).To(Equal(changes))
		Expect(a.Evidence(changes, 10, start)).To(BeEmpty())
		Expect(a.Evidence(0, 10, start.Add(3*time.Second))[0].Crashes[0].Age).To(Equal(3 * time.Second))
	})

	// Guards against a quarantine that ends too early because the latest crash is not the one that it counts from: another
	// instance reports an earlier time for a crash.
	It("counts the quarantine from the latest crash", func() {
		t := quarantine.NewTracker()
		t.ObserveCrash(shared(crashPart), responding(1), start.Add(10*time.Minute))
		t.ObserveCrash(shared(crashPart), responding(2), start.Add(5*time.Minute))
		t.Merge([]quarantine.Evidence{{Part: crashPart, Crashes: []quarantine.Crash{
			{Endpoint: 1, Responding: true, Age: 10 * time.Minute},
		}}}, start.Add(10*time.Minute))
		t.Forget(start.Add(11 * time.Minute))
		Expect(isQuarantined(t, crashPart, start.Add(62*time.Minute))).To(BeTrue())
	})

	// Guards against a malformed message that ends or begins a quarantine.
	It("is ignored if it is not possible", func() {
		t := quarantine.NewTracker()
		t.Merge([]quarantine.Evidence{
			{Part: crashPart},
			{Part: crashPart, Served: true, Crashes: []quarantine.Crash{{Age: -time.Second}, {Age: 24 * time.Hour}}},
		}, start)
		Expect(all(t, start)).To(BeEmpty())
	})

	// Guards against memory and messages that grow with the number of parts.
	It("is bounded, and parts in quarantine are kept and sent first", func() {
		t := quarantine.NewTracker()
		for endpoint := range uint32(3) {
			t.ObserveCrash(shared(crashPart), responding(endpoint), start)
		}
		for i := range uint32(5000) {
			t.ObserveCrash(shared(quarantine.Part(i)), responding(10+i), start)
			t.ObserveServed(shared(quarantine.Part(1_000_000+i)), start)
		}
		for endpoint := range uint32(100) {
			t.ObserveCrash(shared(otherPart), waiting(10_000+endpoint), start)
		}
		_, records := t.Counts()
		Expect(records).To(BeNumerically("<=", 1024))
		Expect(isQuarantined(t, crashPart, start)).To(BeTrue())
		sent := t.Evidence(0, 64, start)
		Expect(sent).To(HaveLen(64))
		Expect([]quarantine.Part{sent[0].Part, sent[1].Part}).To(ConsistOf(crashPart, otherPart))
		for _, e := range sent {
			Expect(len(e.Crashes)).To(BeNumerically("<=", 8))
		}
		Expect(t.Forget(start.Add(3 * time.Hour))).To(HaveLen(2))
		Expect(all(t, start.Add(3*time.Hour))).To(BeEmpty())
	})
})

// TestMergedEvidenceIsTheSameAtAllInstances guards against instances that disagree for good about a quarantine, because they
// have received the same evidence in another order or more than once.
func TestMergedEvidenceIsTheSameAtAllInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 3
		trackers := make([]*quarantine.Tracker, instances)
		for i := range trackers {
			trackers[i] = quarantine.NewTracker()
		}
		parts := []quarantine.Part{1, 2, 3}
		for endpoint := range uint32(rapid.IntRange(0, 8).Draw(t, "crashes")) {
			at := rapid.IntRange(0, instances-1).Draw(t, "instance")
			prompt := parts[:rapid.IntRange(1, len(parts)).Draw(t, "parts")]
			crash := quarantine.Crash{
				Endpoint: endpoint, Responding: rapid.Bool().Draw(t, "responding"),
				Calls: rapid.SliceOfN(rapid.Uint32Range(0, 5), 0, 4).Draw(t, "calls"),
			}
			trackers[at].ObserveCrash(shared(prompt...), crash, start)
			if rapid.IntRange(0, 3).Draw(t, "served") == 0 {
				trackers[at].ObserveServed(shared(parts[:rapid.IntRange(1, 2).Draw(t, "served parts")]...), start)
			}
		}
		// Two rounds, because an instance may have served a part before it learns of a crash under it.
		for range 2 {
			for _, i := range rapid.Permutation([]int{0, 1, 2, 0, 1, 2}).Draw(t, "order") {
				for _, from := range trackers {
					trackers[i].Merge(from.Evidence(0, 100, start), start)
				}
			}
		}
		for _, set := range [][]quarantine.Part{{1}, {2}, {3}, {1, 2}, {1, 3}, {2, 3}, parts} {
			want := areQuarantined(trackers[0], start, set...)
			for i, tracker := range trackers {
				if areQuarantined(tracker, start, set...) != want {
					t.Fatalf("parts %d are in quarantine at instance 0: %t, at instance %d: %t", set, want, i, !want)
				}
			}
		}
	})
}

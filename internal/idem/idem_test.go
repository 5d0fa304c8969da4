package idem_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/acacialift/acacialift/internal/idem"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/testkit"
)

const wallMS int64 = 1_700_000_000_000

var (
	start    = time.Unix(0, 0)
	interval = idem.Interval{Start: wallMS - 1000, End: wallMS + 2000}
	gateway1 = idem.Gateway{Name: "g1", Incarnation: 10}
	gateway2 = idem.Gateway{Name: "g2", Incarnation: 20}
)

func TestIdem(t *testing.T) { testkit.RunSpecs(t, "idem") }

// keyText returns a UUIDv7 with the given label and last byte.
func keyText(labelMS int64, last byte) string {
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: last}
	for i := range 6 {
		id[i] = byte(labelMS >> (8 * (5 - i)))
	}
	return id.String()
}

func keyClaim(labelMS int64, last byte, request string) *peer.KeyClaim {
	return &peer.KeyClaim{
		Service: "desk", Key: keyText(labelMS, last), LabelMS: labelMS, Digest: 1, RequestID: request,
	}
}

func keyEnd(claim *peer.KeyClaim, token uint64, notRun bool) *peer.KeyEnd {
	return &peer.KeyEnd{Service: claim.Service, Key: claim.Key, Token: token, NotRun: notRun, Status: 201}
}

var _ = Describe("ParseKey", func() {
	// Guards against a key that counts as two keys because of upper or lower case, and against a wrong label.
	It("parses both spellings of a key to the same text and label", func() {
		lower, err := idem.ParseKey("018bcfe5-6800-7000-8000-0000000000ab")
		Expect(err).NotTo(HaveOccurred())
		upper, err := idem.ParseKey("018BCFE5-6800-7000-8000-0000000000AB")
		Expect(err).NotTo(HaveOccurred())
		Expect(upper).To(Equal(lower))
		Expect(lower.LabelMS).To(Equal(wallMS))
	})

	// Guards against keys that are accepted although their first bytes are not an issue time.
	DescribeTable("refuses", func(text string) {
		_, err := idem.ParseKey(text)
		var keyError *idem.KeyError
		Expect(err).To(BeAssignableToTypeOf(keyError))
	},
		Entry("nothing", ""),
		Entry("a word", "order-17"),
		Entry("version 4", "018bcfe5-6800-4000-8000-0000000000ab"),
		Entry("another variant", "018bcfe5-6800-7000-c000-0000000000ab"),
		Entry("no hyphens", "018bcfe5680070008000000000000000"),
		Entry("braces", "{018bcfe5-6800-7000-8000-0000000000ab}"),
		Entry("36 other characters", "018bcfe5-6800-7000-8000-0000000000gg"),
	)
})

var _ = Describe("Registry", func() {
	var registry *idem.Registry
	BeforeEach(func() { registry = idem.NewRegistry(idem.Options{MaxKeys: 2}) })

	claimAt := func(now time.Time, gateway idem.Gateway, claim *peer.KeyClaim) peer.KeyReply {
		return registry.Claim(now, wallMS+now.Sub(start).Milliseconds(), gateway, claim, interval, true)
	}

	// Guards against a granted key that another incarnation may accept too, and against a refusal, which tells the gateway
	// that the request did not run, although an earlier home may have run it.
	DescribeTable("checks the label of a new key", func(offsetMS int64, holds bool, verdict peer.KeyVerdict, reason string) {
		reply := registry.Claim(start, wallMS, gateway1, keyClaim(wallMS+offsetMS, 1, "a"), interval, holds)
		Expect(reply.Verdict).To(Equal(verdict))
		Expect(reply.Reason).To(Equal(reason))
		Expect(reply.RetryAfter > 0).To(Equal(verdict == peer.KeyRefused))
	},
		Entry("first label", int64(-1000), true, peer.KeyGranted, ""),
		Entry("last label", int64(1999), true, peer.KeyGranted, ""),
		Entry("before the interval", int64(-1001), true, peer.KeyUnknown, idem.ReasonLabelBefore),
		Entry("at the end", int64(2000), true, peer.KeyRefused, idem.ReasonLabelAhead),
		Entry("years ahead", int64(1)<<40, true, peer.KeyRefused, idem.ReasonLabelAhead),
		Entry("no lease", int64(0), false, peer.KeyRefused, idem.ReasonNotHome),
		Entry("older than the lifetime", int64(-600_000), true, peer.KeyUnknown, idem.ReasonExpired),
	)

	// Guards against a gateway whose LabelMS differs from the label in the key.
	It("refuses a claim with a label that is not the key's", func() {
		claim := keyClaim(wallMS, 1, "a")
		claim.LabelMS++
		Expect(claimAt(start, gateway1, claim).Reason).To(Equal(idem.ReasonInvalidKey))
	})

	// Guards against a duplicate that runs while the first request is running or after it has ended.
	It("answers duplicates with the state of the first request", func() {
		first := claimAt(start, gateway1, keyClaim(wallMS, 1, "a"))
		Expect(claimAt(start, gateway2, keyClaim(wallMS, 1, "b")).Verdict).To(Equal(peer.KeyRunning))
		other := keyClaim(wallMS, 1, "c")
		other.Digest = 2
		Expect(claimAt(start, gateway2, other).Verdict).To(Equal(peer.KeyMismatch))
		Expect(registry.End(keyEnd(other, first.Token+1, false))).To(BeFalse())
		Expect(registry.End(keyEnd(other, first.Token, false))).To(BeTrue())
		Expect(registry.End(keyEnd(other, first.Token, true))).To(BeFalse())
		ended := claimAt(start, gateway2, keyClaim(wallMS, 1, "d"))
		Expect(ended.Verdict).To(Equal(peer.KeyEnded))
		Expect(ended.Status).To(Equal(201))
	})

	// Guards against a request that is refused because the reply to its claim was lost, and against a delayed copy of the
	// claim that is granted after the release.
	It("grants the claim of the same request again until it is released", func() {
		claim := keyClaim(wallMS, 1, "a")
		first := claimAt(start, gateway1, claim)
		Expect(claimAt(start, gateway1, claim)).To(Equal(first))
		Expect(registry.End(keyEnd(claim, first.Token, true))).To(BeTrue())
		Expect(claimAt(start, gateway1, claim).Reason).To(Equal(idem.ReasonStaleClaim))
		second := claimAt(start, gateway2, keyClaim(wallMS, 1, "b"))
		Expect(second.Verdict).To(Equal(peer.KeyGranted))
		Expect(second.Token).NotTo(Equal(first.Token))
	})

	// Guards against a claim that stays running until it expires because its gateway has stopped.
	It("answers unknown if the claim's gateway is unresponsive or was restarted", func() {
		claimAt(start, gateway1, keyClaim(wallMS, 1, "a"))
		registry.RecordContact(start.Add(time.Second), gateway1)
		timedOut := start.Add(time.Second + idem.GatewayTimeout)
		Expect(claimAt(timedOut.Add(-1), gateway2, keyClaim(wallMS, 1, "b")).Verdict).To(Equal(peer.KeyRunning))
		Expect(claimAt(timedOut, gateway2, keyClaim(wallMS, 1, "b")).Verdict).To(Equal(peer.KeyUnknown))
		registry.RecordContact(timedOut, gateway1)
		Expect(claimAt(timedOut, gateway2, keyClaim(wallMS, 1, "b")).Verdict).To(Equal(peer.KeyRunning))
		registry.RecordContact(timedOut, idem.Gateway{Name: "g1", Incarnation: 11})
		Expect(claimAt(timedOut, gateway2, keyClaim(wallMS, 1, "b")).Verdict).To(Equal(peer.KeyUnknown))
	})

	// Guards against a full registry that drops keys or refuses claims for keys that it holds.
	It("refuses new keys while it is full", func() {
		claimAt(start, gateway1, keyClaim(wallMS, 1, "a"))
		claimAt(start, gateway1, keyClaim(wallMS, 2, "b"))
		Expect(claimAt(start, gateway1, keyClaim(wallMS, 3, "c")).Reason).To(Equal(idem.ReasonFull))
		Expect(claimAt(start, gateway2, keyClaim(wallMS, 1, "d")).Verdict).To(Equal(peer.KeyRunning))
		Expect(registry.Len()).To(Equal(2))
	})

	// Guards against a key that runs again after it expired because the wall clock was set back.
	It("does not accept the label of an expired key", func() {
		claimAt(start, gateway1, keyClaim(wallMS, 1, "a"))
		later := start.Add(idem.Lifetime)
		reply := registry.Claim(later, wallMS, gateway1, keyClaim(wallMS, 1, "b"), interval, true)
		Expect(reply.Reason).To(Equal(idem.ReasonExpired))
		Expect(registry.Len()).To(BeZero())
	})

	// Guards against a second run of a request after any sequence of claims, ends, gateway timeouts, lost leases, expiry and
	// clock steps, and against more keys than MaxKeys.
	It("lets each key run at most once", func() {
		rapid.Check(GinkgoTB(), runRegistryModel)
	})
})

func runRegistryModel(rt *rapid.T) {
	registry := idem.NewRegistry(idem.Options{MaxKeys: 5})
	now, wall, bounds := start, wallMS, interval
	type grantedClaim struct {
		claim *peer.KeyClaim
		token uint64
	}
	running := map[string]grantedClaim{}
	executed := map[string]bool{}
	requests := 0
	rt.Repeat(map[string]func(*rapid.T){
		"claim": func(rt *rapid.T) {
			requests++
			label := wallMS + rapid.Int64Range(-3, 12).Draw(rt, "label")*1000
			claim := keyClaim(label, 1, time.Duration(requests).String())
			gateway := rapid.SampledFrom([]idem.Gateway{gateway1, gateway2}).Draw(rt, "gateway")
			reply := registry.Claim(now, wall, gateway, claim, bounds, rapid.Bool().Draw(rt, "holds"))
			if reply.Verdict != peer.KeyGranted {
				return
			}
			if _, claimedBefore := running[claim.Key]; claimedBefore || executed[claim.Key] {
				rt.Fatalf("%s was granted twice", claim.Key)
			}
			running[claim.Key] = grantedClaim{claim: claim, token: reply.Token}
		},
		"end": func(rt *rapid.T) {
			for _, key := range slices.Sorted(maps.Keys(running)) {
				g := running[key]
				notRun := rapid.Bool().Draw(rt, "notRun")
				registry.End(keyEnd(g.claim, g.token, notRun))
				// A duplicate of the report must not change the state of a later claim.
				defer registry.End(keyEnd(g.claim, g.token, !notRun))
				delete(running, key)
				executed[key] = executed[key] || !notRun
				return
			}
		},
		"time": func(rt *rapid.T) {
			elapsed := time.Duration(rapid.Int64Range(0, 300).Draw(rt, "seconds")) * time.Second
			now, wall = now.Add(elapsed), wall+elapsed.Milliseconds()
			bounds.End = max(bounds.End, wall+2000)
		},
		"clock step": func(rt *rapid.T) { wall = wallMS + rapid.Int64Range(-5000, 5000).Draw(rt, "step") },
		"": func(rt *rapid.T) {
			if registry.Len() > 5 {
				rt.Fatalf("%d keys remembered", registry.Len())
			}
		},
	})
}

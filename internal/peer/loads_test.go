package peer_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/acacialift/acacialift/internal/peer"
)

var _ = Describe("endpoint loads", func() {
	// Guards against counts that arrive for the wrong endpoint or with another value, and against bounds that are
	// rounded to zero, which means that there is no bound.
	It("arrive as they were sent, except for rounding to their units", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			sent := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) peer.EndpointLoad {
				return peer.EndpointLoad{
					Endpoint:         rapid.Uint32().Draw(t, "endpoint"),
					Streams:          rapid.IntRange(0, 2000).Draw(t, "streams"),
					UsedTokens:       rapid.Int64Range(0, 10_000_000).Draw(t, "used tokens"),
					PrefillBacklogMS: rapid.Int64Range(0, 100_000).Draw(t, "prefill backlog"),
					PrefillDueInMS:   rapid.Int64Range(0, 20_000).Draw(t, "prefill due in"),
					MaxGapMS:         rapid.Int64Range(0, 5_000).Draw(t, "max gap"),
					Suspect:          rapid.Bool().Draw(t, "suspect"),
				}
			}), 0, 50).Draw(t, "loads")
			encoded, err := msgpack.Marshal(peer.EndpointLoads(sent))
			Expect(err).NotTo(HaveOccurred())
			var got peer.EndpointLoads
			Expect(msgpack.Unmarshal(encoded, &got)).To(Succeed())
			Expect(got).To(HaveLen(len(sent)))
			for i, s := range sent {
				Expect(got[i].UsedTokens).To(BeNumerically("~", s.UsedTokens, 512))
				Expect(got[i].PrefillDueInMS).To(And(BeNumerically(">=", s.PrefillDueInMS), BeNumerically("<", s.PrefillDueInMS+10)))
				Expect(got[i].MaxGapMS).To(And(BeNumerically(">=", s.MaxGapMS), BeNumerically("<", s.MaxGapMS+10)))
				got[i].UsedTokens, got[i].PrefillDueInMS, got[i].MaxGapMS = s.UsedTokens, s.PrefillDueInMS, s.MaxGapMS
				Expect(got[i]).To(Equal(s))
			}
		})
	})

	// Guards against a process that crashes or takes much memory because of a malformed message.
	It("are refused when they are truncated or out of range", func() {
		complete, err := msgpack.Marshal(peer.EndpointLoads{{Endpoint: 7, Streams: 3}, {Endpoint: 9, PrefillDueInMS: 300}})
		Expect(err).NotTo(HaveOccurred())
		const header = 2
		for length := range len(complete) - header {
			truncated := append([]byte{complete[0], byte(length)}, complete[header:header+length]...)
			Expect(msgpack.Unmarshal(truncated, &peer.EndpointLoads{})).NotTo(Succeed(), "%d bytes", length)
		}
		for _, body := range [][]byte{
			{0xff, 0xff, 0xff, 0xff, 0x0f},
			{1, 1, 2, 3, 4, 0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1, 0, 0, 0},
		} {
			encoded, err := msgpack.Marshal(body)
			Expect(err).NotTo(HaveOccurred())
			Expect(msgpack.Unmarshal(encoded, &peer.EndpointLoads{})).NotTo(Succeed())
		}
	})

	// Guards against messages that exceed the bandwidth of the slowest links when the fleet grows: an aggregator of
	// the largest fleet sends the loads of 600 endpoints to 16 members and 21 aggregators.
	It("take few bytes, and are sent uncompressed", func() {
		message := peer.LoadShare{Scope: peer.ScopeTotals, Address: "10.1.2.3:8466"}
		const endpoints = 600
		for i := range endpoints {
			message.Loads = append(message.Loads, peer.EndpointLoad{
				Endpoint: uint32(i) << 20, Streams: 9, UsedTokens: 60_000, PrefillBacklogMS: 80, PrefillDueInMS: 270, MaxGapMS: 250,
			})
		}
		frame, err := peer.EncodeFrame(peer.KindLoadShare, 0, false, message)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(frame)).To(BeNumerically("<=", 12*endpoints))
		Expect(message.SkipsCompression()).To(BeTrue())
	})
})

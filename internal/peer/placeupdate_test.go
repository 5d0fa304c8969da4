package peer_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/acacialift/acacialift/internal/peer"
)

// earlierPlaceUpdate is the update of a version that knows no observations.
type earlierPlaceUpdate struct {
	From   string
	Number uint64
	Shard  peer.PlaceShard
	Ended  bool
}

var _ = Describe("an update with an observation", func() {
	decode := func(body, into any) {
		frame, err := peer.EncodeFrame(peer.KindPlaceUpdate, 0, false, body)
		Expect(err).NotTo(HaveOccurred())
		var decoder peer.Decoder
		envelopes, err := decoder.Feed(frame)
		Expect(err).NotTo(HaveOccurred())
		Expect(envelopes).To(HaveLen(1))
		Expect(envelopes[0].Decode(into)).To(Succeed())
	}

	// Guards against schedulers of an earlier version that refuse the updates of this one, so that slots stay in use, and against
	// the reverse.
	It("is understood by an earlier version, and its updates by this one", func() {
		sent := &peer.PlaceUpdate{From: "a", Number: 7, Ended: true, Extension: peer.PlaceUpdateExtension{FirstUS: 3, Failed: true}}
		var earlier earlierPlaceUpdate
		decode(sent, &earlier)
		Expect(earlier).To(Equal(earlierPlaceUpdate{From: "a", Number: 7, Ended: true}))
		var same peer.PlaceUpdate
		decode(sent, &same)
		Expect(&same).To(Equal(sent))
		var received peer.PlaceUpdate
		decode(earlier, &received)
		Expect(received).To(Equal(peer.PlaceUpdate{From: "a", Number: 7, Ended: true}))
	})

	// Guards against a time that no instance can mean.
	It("is used without an observation that is out of its range", func() {
		m := peer.PlaceUpdate{Number: 7, Extension: peer.PlaceUpdateExtension{FirstUS: -1, Failed: true}}
		Expect(m.RemoveInvalid().Count).To(Equal(1))
		Expect(m.Extension).To(Equal(peer.PlaceUpdateExtension{}))
	})
})

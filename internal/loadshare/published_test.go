package loadshare_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/acacialift/acacialift/internal/clock"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/published"
	"github.com/acacialift/acacialift/internal/testkit"
)

var _ = Describe("what instances retain from an earlier era of the platform", func() {
	const key = "a-key-of-sixteen-bytes"
	withRetained := func() *fakeFeed {
		item := published.Item{Key: "op/config", Value: []byte("newer"), Revision: 26, Era: 1}
		return &fakeFeed{era: 2, asOf: 25, confirmed: clock.Boot(), retained: map[string]published.Item{item.Key: item}}
	}

	// Guards against an instance that starts in the seconds after a restoration and uses the state of the copy, because its peers
	// tell it too late or not at all what they know. It waits for half a second. Also guards against peers that send the same
	// items with each message.
	It("reaches an instance of a small fleet that starts, at once and only once", func() {
		addresses := testkit.FreeAddresses(3)
		for i, address := range addresses[:2] {
			startWithFeed(fmt.Sprint("i-", i), address, key, withRetained(), addresses[0])
		}
		time.Sleep(time.Second)
		starting := &fakeFeed{}
		startWithFeed("starting", addresses[2], key, starting, addresses[0])
		Eventually(starting.retains, 500*time.Millisecond, 10*time.Millisecond).Should(Equal(1))
		starting.Accept(published.Update{}, published.Position{Era: 2, Revision: 25}, clock.Boot())
		time.Sleep(1500 * time.Millisecond)
		received := func() int {
			starting.mu.Lock()
			defer starting.mu.Unlock()
			return starting.retainedMessages
		}
		before := received()
		Consistently(received, 2*time.Second).Should(Equal(before))
	})

	// Guards against members and aggregators of a larger fleet of which only one knows what a restored store has lost.
	It("reaches all instances of a larger fleet from any of them", func() {
		const size = 16
		addresses := testkit.FreeAddresses(size)
		feeds := make([]*fakeFeed, size)
		for i := range feeds {
			feeds[i] = &fakeFeed{era: 2, asOf: 25, confirmed: clock.Boot()}
		}
		feeds[size-1] = withRetained()
		for i, address := range addresses {
			startWithFeed(fmt.Sprint("i-", i), address, key, feeds[i], addresses[:3]...)
		}
		for _, f := range feeds {
			Eventually(f.retains, eventTimeout).Should(Equal(1))
		}
	})

	// Guards against content of a new era that is sent with a position of the one before, because the store is restored while a message
	// is made. Members would take it for the whole content of the earlier era and remove what is not in it.
	It("is not mixed with the content of an era that begins while a message is made", func() {
		const size = 16
		addresses := testkit.FreeAddresses(size)
		feeds := make([]*fakeFeed, size)
		for i := range feeds {
			feeds[i] = &fakeFeed{era: 1, asOf: 30, confirmed: clock.Boot(), beginsEra: true}
			startWithFeed(fmt.Sprint("i-", i), addresses[i], key, feeds[i], addresses[:3]...)
		}
		Eventually(func() (watching bool) {
			for _, f := range feeds {
				watching = watching || f.isWatching()
			}
			return watching
		}, eventTimeout).Should(BeTrue())
		time.Sleep(time.Second)
		for _, f := range feeds {
			f.mu.Lock()
			Expect(f.accepted).To(BeEmpty())
			f.mu.Unlock()
		}
	})

	// Guards against a fleet whose members stay in the era that has ended, or all read the restored store themselves.
	It("is accompanied by the whole content for members of an earlier era", func() {
		const size = 16
		addresses := testkit.FreeAddresses(size)
		feeds := make([]*fakeFeed, size)
		for i := range feeds {
			feeds[i] = &fakeFeed{era: 1, asOf: 30, confirmed: clock.Boot()}
			startWithFeed(fmt.Sprint("i-", i), addresses[i], key, feeds[i], addresses[:3]...)
		}
		isWatcher := func(f *fakeFeed) bool { return f.isWatching() }
		Eventually(func() (count int) {
			for _, f := range feeds {
				if isWatcher(f) {
					count++
				}
			}
			return count
		}, eventTimeout).Should(Equal(3))
		for _, f := range feeds {
			if isWatcher(f) {
				f.Accept(published.Update{}, published.Position{Era: 2, Revision: 20}, clock.Boot())
			}
		}
		for _, f := range feeds {
			Eventually(func() published.Position {
				position, _ := f.Position()
				return position
			}, eventTimeout).Should(Equal(published.Position{Era: 2, Revision: 20}))
		}
	})
})

var _ = Describe("a message about load between two versions of acacialift", func() {
	// previousLoadShare is a load share of the version that knew no eras.
	type previousItem struct {
		Key      string
		Value    []byte
		Revision int64
		Removed  bool
	}
	type previousLoadShare struct {
		Scope        peer.ShareScope
		Address      string
		Capacity     uint8
		LiveMembers  []peer.Member
		Loads        peer.EndpointLoads
		Demand       []peer.ServiceDemand
		Stamp, Echo  int64
		Position     int64
		AgeMS        int64
		Published    []previousItem
		LargestFleet uint16
		Limits       []peer.EndpointLimit
		Parts        []peer.PartEvidence
	}
	frameOf := func(message any) []byte {
		frame, err := peer.EncodeFrame(peer.KindLoadShare, 0, false, message)
		Expect(err).NotTo(HaveOccurred())
		return frame
	}
	envelopeOf := func(frame []byte) peer.Envelope {
		envelopes, err := new(peer.Decoder).Feed(frame)
		Expect(err).NotTo(HaveOccurred())
		return envelopes[0]
	}

	// Guards against instances that do not understand each other during an update. With fields added to the struct, each side
	// refused all messages of the other: "number of fields in array-encoded struct has changed".
	It("is understood in both directions, without an era", func() {
		frame := frameOf(&peer.LoadShare{
			Address: "a:1", Position: 7, Published: []peer.PublishedItem{{Key: "k", Revision: 7}}, LargestFleet: 9,
			Extension: peer.LoadShareExtension{
				Era: 2, Whole: true, Retained: []peer.RetainedItem{{Key: "r", Era: 1}}, RetainedDigest: 5,
			},
		})
		// The previous version decodes the payload, without the length, and the body like this.
		var envelope struct {
			Kind       peer.Kind
			Seq        uint64
			Reply      bool
			Body       msgpack.RawMessage
			Compressed bool
		}
		Expect(msgpack.Unmarshal(frame[4:], &envelope)).To(Succeed())
		var previous previousLoadShare
		Expect(msgpack.Unmarshal(envelope.Body, &previous)).To(Succeed())
		Expect(previous.Published).To(Equal([]previousItem{{Key: "k", Revision: 7}}))
		Expect(previous.LargestFleet).To(BeEquivalentTo(9))

		var same peer.LoadShare
		received := envelopeOf(frame)
		Expect(received.Decode(&same)).To(Succeed())
		Expect(same.Extension.Era).To(BeEquivalentTo(2))
		Expect(same.Extension.Retained).To(Equal([]peer.RetainedItem{{Key: "r", Era: 1}}))

		var current peer.LoadShare
		previous.Address, previous.Position = "b:1", 8
		received = envelopeOf(frameOf(previous))
		Expect(received.Decode(&current)).To(Succeed())
		Expect(current.Address).To(Equal("b:1"))
		Expect(current.Published).To(Equal([]peer.PublishedItem{{Key: "k", Revision: 7}}))
		Expect(current.Position).To(BeEquivalentTo(8))
		Expect(current.Extension).To(BeZero())
	})
})

package peer_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/testkit"
)

// maxConnDeferred is the largest number of deferred replies of a connection.
const maxConnDeferred = 1024

// deferringHandler defers all replies, and replies at once with revision 0 if it cannot.
type deferringHandler struct {
	mu       sync.Mutex
	replies  []func(peer.Kind, any)
	requests []uint64
}

func (h *deferringHandler) Handle(_ peer.Hello, envelope *peer.Envelope) (peer.Kind, any) {
	var request peer.DocumentRequest
	if envelope.Decode(&request) != nil {
		return peer.KindError, peer.Error{Code: "unexpected"}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if envelope.Deferral == nil {
		return 0, nil
	}
	reply, ok := envelope.Deferral.Defer()
	if !ok {
		return peer.KindDocument, peer.Document{}
	}
	h.replies, h.requests = append(h.replies, reply), append(h.requests, request.MinRevision)
	return 0, nil
}

func (h *deferringHandler) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.replies)
}

// replyAll sends the deferred replies, the last one first and each of them twice.
func (h *deferringHandler) replyAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.replies) - 1; i >= 0; i-- {
		for range 2 {
			h.replies[i](peer.KindDocument, peer.Document{Revision: h.requests[i]})
		}
	}
	h.replies, h.requests = nil, nil
}

var _ = Describe("a deferred reply", func() {
	var (
		handler *deferringHandler
		server  *peer.Node
		address string
	)
	BeforeEach(func() {
		handler, address = &deferringHandler{}, testkit.FreeAddresses(1)[0]
		var err error
		server, err = peer.NewNode(peer.Options{Listen: address, Self: peer.Hello{Key: testKey}, Handler: handler})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
	})
	request := func(client *peer.Node, revision uint64) <-chan uint64 {
		replies := make(chan uint64, 1)
		go func() {
			if document, err := requestDocument(client, address, revision); err == nil {
				replies <- document.Revision
			}
			close(replies)
		}()
		return replies
	}

	// Guards against a reply that reaches another request of the connection, and against a handler that must block to reply later.
	It("reaches its own request, while the connection carries others", func() {
		client := startClient(testKey)
		var replies []<-chan uint64
		for revision := range uint64(50) {
			replies = append(replies, request(client, 1+revision))
		}
		Eventually(handler.count, "10s").Should(Equal(len(replies)))
		Expect(server.Deferred()).To(BeEquivalentTo(len(replies)))
		handler.replyAll()
		for i, reply := range replies {
			Eventually(reply, "10s").Should(Receive(Equal(uint64(1 + i))))
		}
		Expect(server.Deferred()).To(BeZero())
	})

	// Guards against memory for requests that nobody answers, without bound.
	It("is refused beyond the bound of a connection, and granted again after replies", func() {
		client := startClient(testKey)
		for range maxConnDeferred {
			request(client, 1)
		}
		Eventually(handler.count, "10s").Should(Equal(maxConnDeferred))
		Eventually(request(client, 9), "10s").Should(Receive(BeZero()))
		handler.replyAll()
		after := request(client, 9)
		Eventually(handler.count, "10s").Should(Equal(1))
		handler.replyAll()
		Eventually(after, "10s").Should(Receive(BeEquivalentTo(9)))
	})

	// Guards against replies that are kept for an instance that has gone, and against a write on its connection.
	It("is dropped when the connection closes", func() {
		client := startClient(testKey)
		reply := request(client, 1)
		Eventually(handler.count, "10s").Should(Equal(1))
		client.Disconnect(address)
		Eventually(reply, "10s").Should(BeClosed())
		Eventually(server.Deferred, "10s").Should(BeZero())
		handler.replyAll()
		Expect(server.Deferred()).To(BeZero())
		again := request(client, 2)
		Eventually(handler.count, "10s").Should(Equal(1))
		handler.replyAll()
		Eventually(again, "10s").Should(Receive(BeEquivalentTo(2)))
	})

	// Guards against a deferral for a message that expects no reply.
	It("is not offered for a message without reply", func() {
		client := startClient(testKey)
		Expect(client.Send(context.Background(), address, peer.KindDocumentRequest, peer.DocumentRequest{MinRevision: 1})).To(Succeed())
		Consistently(handler.count, 200*time.Millisecond).Should(BeZero())
	})

	// Guards against a node that does not end because of replies that are deferred.
	It("does not keep the node from closing", func() {
		address = testkit.FreeAddresses(1)[0]
		closing, err := peer.NewNode(peer.Options{Listen: address, Self: peer.Hello{Key: testKey}, Handler: handler})
		Expect(err).NotTo(HaveOccurred())
		request(startClient(testKey), 1)
		Eventually(handler.count, "10s").Should(Equal(1))
		closed := make(chan struct{})
		go func() {
			closing.Close()
			close(closed)
		}()
		Eventually(closed, "10s").Should(BeClosed())
		handler.replyAll()
	})
})

// earlierPlaceRequest and earlierPlaceReply are the messages as the earlier version knows them.
type (
	earlierPlaceRequest struct {
		From                           string
		Number                         uint64
		Shard                          peer.PlaceShard
		Tokens, Output                 int64
		ObjectiveMS, MaxGapMS, LimitMS int64
		Avoid, Suspects, Full          []uint32
	}
	earlierPlaceReply struct {
		NotReady, Placed    bool
		Primary             uint32
		Helpers             []uint32
		Reservations        []peer.PlaceReservation
		PartUS, PredictedUS int64
		Reason              string
		RetryAfterMS        int64
		Candidates          int
	}
)

var _ = Describe("the messages about waiting", func() {
	request := peer.PlaceRequest{From: "10.0.0.1:1", Number: 7, Shard: peer.PlaceShard{Service: 3, Count: 2}, Tokens: 100, LimitMS: 5000, Avoid: []uint32{4}}
	decode := func(body any, into any) *peer.Envelope {
		frame, err := peer.EncodeFrame(peer.KindPlaceRequest, 1, false, body)
		Expect(err).NotTo(HaveOccurred())
		envelopes, err := new(peer.Decoder).Feed(frame)
		Expect(err).NotTo(HaveOccurred())
		Expect(envelopes[0].Decode(into)).To(Succeed())
		return &envelopes[0]
	}

	// Guards against instances of two versions that do not understand each other during an update of the fleet.
	It("are understood by the earlier version", func() {
		waits := request
		waits.Extension = peer.PlaceRequestExtension{Waits: true, Rank: 3, Team: 1 << 31, Prompt: 1 << 63, UsedMS: 400, HoldMS: 250, Failed: "10.0.0.9:1"}
		var earlier earlierPlaceRequest
		decode(&waits, &earlier)
		Expect(earlier.Number).To(BeEquivalentTo(7))
		Expect(earlier.Avoid).To(Equal([]uint32{4}))
		var later peer.PlaceRequest
		decode(&waits, &later)
		Expect(later).To(Equal(waits))
		var reply earlierPlaceReply
		decode(&peer.PlaceReply{Reason: "slots_full", RetryAfterMS: 5, Extension: peer.PlaceReplyExtension{Queues: true}}, &reply)
		Expect(reply.Reason).To(Equal("slots_full"))
	})

	// Guards against fields on the wire where queues are off.
	It("of a request that cannot wait are those of the earlier version", func() {
		envelope := decode(request, &peer.PlaceRequest{})
		Expect(envelope.Extension).To(BeEmpty())
		earlier := earlierPlaceRequest{From: request.From, Number: 7, Shard: request.Shard, Tokens: 100, LimitMS: 5000, Avoid: request.Avoid}
		Expect(decode(earlier, &peer.PlaceRequest{}).Body).To(Equal(envelope.Body))
	})

	// Guards against ranks without meaning and times beyond a duration.
	DescribeTable("have bounds", func(change func(*peer.PlaceRequestExtension)) {
		m := request
		Expect(m.Invalid().Count).To(BeZero())
		change(&m.Extension)
		Expect(m.Invalid().Count).To(Equal(1))
	},
		Entry("of the rank", func(x *peer.PlaceRequestExtension) { x.Rank = 10 }),
		Entry("of the least rank", func(x *peer.PlaceRequestExtension) { x.Rank = -1 }),
		Entry("of the used time", func(x *peer.PlaceRequestExtension) { x.UsedMS = 1 << 62 }),
		Entry("of the objective", func(x *peer.PlaceRequestExtension) { x.FullObjectiveMS = -1 }),
		Entry("of the useful time", func(x *peer.PlaceRequestExtension) { x.UsefulMS = 1 << 62 }),
		Entry("of the hold time", func(x *peer.PlaceRequestExtension) { x.HoldMS = 5000 }),
		Entry("of the failed scheduler's address", func(x *peer.PlaceRequestExtension) { x.Failed = string(make([]byte, 100)) }),
	)

	// Guards against a time of a reply beyond the one for which it may be deferred.
	It("have a bound of the held time", func() {
		m := peer.PlaceReply{Extension: peer.PlaceReplyExtension{HeldUS: 1 << 40}}
		Expect(m.Invalid().Count).To(Equal(1))
	})

	// Guards against an extension that is no map, after which the rest of the message would be lost too.
	It("with a malformed extension are refused", func() {
		envelope := decode(&request, &peer.PlaceRequest{})
		envelope.Extension = msgpack.RawMessage{0x93, 1, 2, 3}
		Expect(envelope.Decode(&peer.PlaceRequest{})).NotTo(Succeed())
	})
})

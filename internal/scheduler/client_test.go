package scheduler_test

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/scheduler"
)

const self, remote = "10.0.0.1:1", "10.0.0.9:1"

// sentMessage is a message that was sent to another instance.
type sentMessage struct {
	address string
	kind    peer.Kind
	body    any
}

// fakePeers replies with the result of a function and records the messages that were sent.
type fakePeers struct {
	reply        func(peer.PlaceRequest) (peer.PlaceReply, error)
	sent         []sentMessage
	disconnected []string
}

func (f *fakePeers) Call(_ context.Context, address string, kind peer.Kind, body, out any) error {
	f.sent = append(f.sent, sentMessage{address, kind, body})
	reply, err := f.reply(body.(peer.PlaceRequest))
	*out.(*peer.PlaceReply) = reply
	return err
}

func (f *fakePeers) Send(_ context.Context, address string, kind peer.Kind, body any) error {
	f.sent = append(f.sent, sentMessage{address, kind, body})
	return nil
}

func (f *fakePeers) Disconnect(address string) { f.disconnected = append(f.disconnected, address) }

func (f *fakePeers) kinds() []peer.Kind {
	var kinds []peer.Kind
	for _, s := range f.sent {
		kinds = append(kinds, s.kind)
	}
	return kinds
}

// fixedMembers returns one scheduler for all shards; none if it is empty.
type fixedMembers struct{ scheduler string }

func (f *fixedMembers) Scheduler(uint64, time.Time) (string, bool) {
	return f.scheduler, f.scheduler != ""
}

// NextScheduler returns this instance: no other one is live.
func (f *fixedMembers) NextScheduler(uint64, string, time.Time) string { return self }
func (f *fixedMembers) IsLive(string, time.Time) bool                  { return true }
func (f *fixedMembers) Live(time.Time) []string                        { return nil }

var _ = Describe("a scheduler client", func() {
	var (
		peers   *fakePeers
		members *fixedMembers
		tracker *load.Tracker
		client  *scheduler.Client
	)
	state := newState(2)
	request := shortRequest(7)
	placedOn := func(key uint32) func(peer.PlaceRequest) (peer.PlaceReply, error) {
		return func(peer.PlaceRequest) (peer.PlaceReply, error) {
			return peer.PlaceReply{Placed: true, Primary: key}, nil
		}
	}
	BeforeEach(func() {
		peers, members, tracker = &fakePeers{}, &fixedMembers{scheduler: remote}, load.NewTracker()
		client = scheduler.NewClient(scheduler.ClientOptions{
			Self: self, Peers: peers, Members: members, Local: newScheduler(state), Load: tracker, State: state, Log: zerolog.Nop(),
		})
	})

	// Guards against a scheduler that does not know the requests which the requesting instance has placed already.
	It("lists this instance's requests to a scheduler before the first place request", func() {
		peers.reply = placedOn(state.Endpoint("i-1").Key())
		tracker.AddNumbered(3, load.Work{Primary: state.Endpoint("i-0")}, time.Now())
		result, ok := client.Place(context.Background(), request)
		Expect(ok).To(BeTrue())
		Expect(result.Choice.Primary.ID).To(Equal("i-1"))
		Expect(peers.kinds()).To(Equal([]peer.Kind{peer.KindPlaceSync, peer.KindPlaceRequest}))
		Expect(peers.sent[0].body.(peer.PlaceSync).Works).To(HaveLen(1))
	})

	// Guards against slots that stay in use until the next list is sent.
	It("reports the end of a placed request", func() {
		peers.reply = placedOn(state.Endpoint("i-1").Key())
		result, _ := client.Place(context.Background(), request)
		result.Placement.PrefillDone()
		result.Placement.End()
		updates := peers.sent[len(peers.sent)-2:]
		Expect(updates[0].body).To(Equal(peer.PlaceUpdate{
			From: self, Number: 7, Shard: peer.PlaceShard{Service: onlyShard.Service, Count: 1},
		}))
		Expect(updates[1].body.(peer.PlaceUpdate).Ended).To(BeTrue())
	})

	// Guards against requests that each wait for the timeout of a scheduler that is down, and against a failed connection
	// that stays open.
	It("sends no requests to an unresponsive scheduler during its back-off", func() {
		peers.reply = func(peer.PlaceRequest) (peer.PlaceReply, error) { return peer.PlaceReply{}, errors.New("no reply") }
		_, ok := client.Place(context.Background(), request)
		Expect(ok).To(BeFalse())
		sentBefore := len(peers.sent)
		_, ok = client.Place(context.Background(), request)
		Expect(ok).To(BeFalse())
		Expect(peers.sent).To(HaveLen(sentBefore))
		Expect(peers.disconnected).To(Equal([]string{remote}))
		Expect(peers.sent[sentBefore-1].body.(peer.PlaceUpdate).Ended).To(BeTrue())
	})

	// Guards against a placement on an endpoint that this instance has removed.
	It("rejects a choice with an unknown endpoint", func() {
		peers.reply = placedOn(12345)
		_, ok := client.Place(context.Background(), request)
		Expect(ok).To(BeFalse())
		Expect(peers.sent[len(peers.sent)-1].body.(peer.PlaceUpdate).Ended).To(BeTrue())
	})

	// Guards against messages without a valid shard. A shard count of zero would cause a division by zero.
	It("refuses messages without a shard", func() {
		server := &scheduler.Server{Scheduler: newReadyScheduler(state), State: state, Log: zerolog.Nop()}
		frame, err := peer.EncodeFrame(peer.KindPlaceRequest, 1, false, peer.PlaceRequest{From: remote})
		Expect(err).NotTo(HaveOccurred())
		envelopes, err := new(peer.Decoder).Feed(frame)
		Expect(err).NotTo(HaveOccurred())
		kind, reply := server.Handle(peer.Hello{}, &envelopes[0])
		Expect(kind).To(Equal(peer.KindPlaceReply))
		Expect(reply).To(Equal(peer.PlaceReply{NotReady: true}))
	})

	// Guards against values that are lost or change their unit between two instances.
	It("exchanges place requests, replies and updates with a scheduler", func() {
		sched := newReadyScheduler(state)
		server := &scheduler.Server{Scheduler: sched, State: state, Log: zerolog.Nop()}
		deliver := func(kind peer.Kind, body any) any {
			frame, err := peer.EncodeFrame(kind, 1, false, body)
			Expect(err).NotTo(HaveOccurred())
			envelopes, err := new(peer.Decoder).Feed(frame)
			Expect(err).NotTo(HaveOccurred())
			_, reply := server.Handle(peer.Hello{}, &envelopes[0])
			return reply
		}
		peers.reply = func(request peer.PlaceRequest) (peer.PlaceReply, error) {
			return deliver(peer.KindPlaceRequest, request).(peer.PlaceReply), nil
		}
		var results []scheduler.PlaceResult
		for n := range 2 * slots {
			request := shortRequest(n)
			request.Need.Objective = 3 * time.Second
			result, ok := client.Place(context.Background(), request)
			Expect(ok).To(BeTrue())
			Expect(result.Refusal).To(BeNil())
			Expect(result.Choice.Part).To(BeNumerically(">", 0))
			results = append(results, result)
		}
		result, ok := client.Place(context.Background(), shortRequest(100))
		Expect(ok).To(BeTrue())
		Expect(result.Refusal.RetryAfter).To(BeNumerically(">", 0))
		results[0].Placement.End()
		last := peers.sent[len(peers.sent)-1]
		deliver(last.kind, last.body)
		result, _ = client.Place(context.Background(), shortRequest(101))
		Expect(result.Refusal).To(BeNil())
	})
})

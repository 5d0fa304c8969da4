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

const self, other = "10.0.0.1:1", "10.0.0.9:1"

// sent is a message that was sent to another instance.
type sent struct {
	address string
	kind    peer.Kind
	body    any
}

// fakePeers answers asks by a function and keeps what was sent.
type fakePeers struct {
	answer       func(peer.PlaceRequest) (peer.PlaceReply, error)
	sent         []sent
	disconnected []string
}

func (f *fakePeers) Call(_ context.Context, address string, kind peer.Kind, body, out any) error {
	f.sent = append(f.sent, sent{address, kind, body})
	reply, err := f.answer(body.(peer.PlaceRequest))
	*out.(*peer.PlaceReply) = reply
	return err
}

func (f *fakePeers) Send(_ context.Context, address string, kind peer.Kind, body any) error {
	f.sent = append(f.sent, sent{address, kind, body})
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

// fixedMembers names one scheduler for all shards; none if it is empty.
type fixedMembers struct{ scheduler string }

func (f *fixedMembers) Scheduler(uint64, time.Time) (string, bool) {
	return f.scheduler, f.scheduler != ""
}
func (f *fixedMembers) IsLive(string, time.Time) bool { return true }

var _ = Describe("a client of schedulers", func() {
	var (
		peers   *fakePeers
		members *fixedMembers
		book    *load.Tracker
		client  *scheduler.Client
	)
	state := newState(2)
	ask := shortAsk(7)
	placedOn := func(key uint32) func(peer.PlaceRequest) (peer.PlaceReply, error) {
		return func(peer.PlaceRequest) (peer.PlaceReply, error) {
			return peer.PlaceReply{Placed: true, Primary: key}, nil
		}
	}
	BeforeEach(func() {
		peers, members, book = &fakePeers{}, &fixedMembers{scheduler: other}, load.NewTracker()
		client = scheduler.NewClient(scheduler.ClientOptions{
			Self: self, Peers: peers, Members: members, Local: newLedger(state), Load: book, State: state, Log: zerolog.Nop(),
		})
	})

	// Guards against a scheduler that does not know the work which its instance has placed already.
	It("lists its own work before the first ask", func() {
		peers.answer = placedOn(state.Endpoint("i-1").Key())
		book.AddNumbered(3, load.Work{Primary: state.Endpoint("i-0")}, time.Now())
		answer, ok := client.Place(context.Background(), ask)
		Expect(ok).To(BeTrue())
		Expect(answer.Choice.Primary.ID).To(Equal("i-1"))
		Expect(peers.kinds()).To(Equal([]peer.Kind{peer.KindPlaceSync, peer.KindPlaceRequest}))
		Expect(peers.sent[0].body.(peer.PlaceSync).Works).To(HaveLen(1))
	})

	// Guards against places that stay taken until a list makes up for it.
	It("tells of the end of a placed request", func() {
		peers.answer = placedOn(state.Endpoint("i-1").Key())
		answer, _ := client.Place(context.Background(), ask)
		answer.Placement.PrefillDone()
		answer.Placement.End()
		notices := peers.sent[len(peers.sent)-2:]
		Expect(notices[0].body).To(Equal(peer.PlaceUpdate{
			From: self, Number: 7, Shard: peer.PlaceShard{Service: whole.Service, Count: 1},
		}))
		Expect(notices[1].body.(peer.PlaceUpdate).Ended).To(BeTrue())
	})

	// Guards against requests that each wait for a scheduler which is down, and against a dead connection that is kept.
	It("leaves a silent scheduler alone for a while", func() {
		peers.answer = func(peer.PlaceRequest) (peer.PlaceReply, error) { return peer.PlaceReply{}, errors.New("no answer") }
		_, ok := client.Place(context.Background(), ask)
		Expect(ok).To(BeFalse())
		asked := len(peers.sent)
		_, ok = client.Place(context.Background(), ask)
		Expect(ok).To(BeFalse())
		Expect(peers.sent).To(HaveLen(asked))
		Expect(peers.disconnected).To(Equal([]string{other}))
		Expect(peers.sent[asked-1].body.(peer.PlaceUpdate).Ended).To(BeTrue())
	})

	// Guards against a placement on an endpoint that has left, as this instance knows.
	It("takes no endpoint that it does not know", func() {
		peers.answer = placedOn(12345)
		_, ok := client.Place(context.Background(), ask)
		Expect(ok).To(BeFalse())
		Expect(peers.sent[len(peers.sent)-1].body.(peer.PlaceUpdate).Ended).To(BeTrue())
	})

	// Guards against a message of another instance that names no shard.
	It("refuses messages without a shard", func() {
		s := &scheduler.Server{Scheduler: newInformed(state), State: state, Log: zerolog.Nop()}
		frame, err := peer.EncodeFrame(peer.KindPlaceRequest, 1, false, peer.PlaceRequest{From: other})
		Expect(err).NotTo(HaveOccurred())
		envelopes, err := new(peer.Decoder).Feed(frame)
		Expect(err).NotTo(HaveOccurred())
		kind, reply := s.Handle(peer.Hello{}, &envelopes[0])
		Expect(kind).To(Equal(peer.KindPlaceReply))
		Expect(reply).To(Equal(peer.PlaceReply{NotReady: true}))
	})

	// Guards against figures that are lost or change their unit between two instances.
	It("carries asks, lists and ends to a scheduler", func() {
		ledger := newInformed(state)
		s := &scheduler.Server{Scheduler: ledger, State: state, Log: zerolog.Nop()}
		wire := func(kind peer.Kind, body any) any {
			frame, err := peer.EncodeFrame(kind, 1, false, body)
			Expect(err).NotTo(HaveOccurred())
			envelopes, err := new(peer.Decoder).Feed(frame)
			Expect(err).NotTo(HaveOccurred())
			_, reply := s.Handle(peer.Hello{}, &envelopes[0])
			return reply
		}
		peers.answer = func(a peer.PlaceRequest) (peer.PlaceReply, error) {
			return wire(peer.KindPlaceRequest, a).(peer.PlaceReply), nil
		}
		var answers []scheduler.PlaceResult
		for n := range 2 * slots {
			ask := shortAsk(n)
			ask.Need.Objective = 3 * time.Second
			answer, ok := client.Place(context.Background(), ask)
			Expect(ok).To(BeTrue())
			Expect(answer.Refusal).To(BeNil())
			Expect(answer.Choice.Part).To(BeNumerically(">", 0))
			answers = append(answers, answer)
		}
		answer, ok := client.Place(context.Background(), shortAsk(100))
		Expect(ok).To(BeTrue())
		Expect(answer.Refusal.RetryAfter).To(BeNumerically(">", 0))
		answers[0].Placement.End()
		last := peers.sent[len(peers.sent)-1]
		wire(last.kind, last.body)
		answer, _ = client.Place(context.Background(), shortAsk(101))
		Expect(answer.Refusal).To(BeNil())
	})
})

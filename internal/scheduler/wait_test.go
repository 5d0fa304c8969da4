package scheduler_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/placement"
	"github.com/acacialift/acacialift/internal/scheduler"
)

// replyLater is the deferral of a message on a link.
type replyLater struct{ replies chan any }

func (r replyLater) Defer() (reply func(peer.Kind, any), ok bool) {
	return func(_ peer.Kind, body any) { r.replies <- body }, true
}

// link carries the messages of one instance to a server, encoded as on the wire, and no others.
type link struct {
	server *scheduler.Server
	// isSilent drops all messages, dropsReplies only the replies.
	isSilent, dropsReplies atomic.Bool
	// isOld leaves out extensions, as an instance of the earlier version does.
	isOld           bool
	messages, bytes atomic.Int64

	mu   sync.Mutex
	sent []sentMessage
}

// encode returns a message as it arrives, and counts it.
func (l *link) encode(kind peer.Kind, body any) *peer.Envelope {
	frame, err := peer.EncodeFrame(kind, 1, false, body)
	Expect(err).NotTo(HaveOccurred())
	envelopes, err := new(peer.Decoder).Feed(frame)
	Expect(err).NotTo(HaveOccurred())
	l.messages.Add(1)
	l.bytes.Add(int64(len(frame)))
	if l.isOld {
		envelopes[0].Extension = nil
	}
	return &envelopes[0]
}

func (l *link) record(address string, kind peer.Kind, body any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, sentMessage{address, kind, body})
}

// requests returns the place requests that were sent to an address.
func (l *link) requests(address string) []*peer.PlaceRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var requests []*peer.PlaceRequest
	for _, s := range l.sent {
		if request, ok := s.body.(*peer.PlaceRequest); ok && s.address == address {
			requests = append(requests, request)
		}
	}
	return requests
}

func (l *link) Call(ctx context.Context, address string, kind peer.Kind, body, out any) error {
	l.record(address, kind, body)
	if l.isSilent.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	envelope := l.encode(kind, body)
	later := replyLater{replies: make(chan any, 1)}
	envelope.Deferral = later
	replyKind, reply := l.server.Handle(peer.Hello{Name: "peer"}, envelope)
	if reply == nil {
		select {
		case reply = <-later.replies:
			replyKind = peer.KindPlaceReply
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if l.dropsReplies.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return l.encode(replyKind, reply).Decode(out)
}

func (l *link) Send(_ context.Context, address string, kind peer.Kind, body any) error {
	l.record(address, kind, body)
	if l.isSilent.Load() {
		return errors.New("silent")
	}
	l.server.Handle(peer.Hello{Name: "peer"}, l.encode(kind, body))
	return nil
}

func (l *link) Disconnect(string) {}

// waitingRequest returns a request that may wait for four seconds.
func waitingRequest(number int) scheduler.PlaceRequest {
	request := shortRequest(number)
	request.Need.Objective = 2 * time.Second
	request.Terms = &scheduler.WaitTerms{
		Rank: 1, Team: 7, FullObjective: 2 * time.Second, Useful: 4 * time.Second, Hold: scheduler.HoldTime,
	}
	return request
}

// busyShard is a shard whose scheduler is on another instance, with a client that sends it requests.
type busyShard struct {
	scheduler *scheduler.Scheduler
	client    *scheduler.Client
	link      *link
	state     *fleet.State
}

// newBusyShard returns a scheduler that is ready and runs its dispatches.
func newBusyShard(state *fleet.State) *busyShard {
	r := &busyShard{scheduler: newScheduler(state), state: state}
	r.scheduler.Sync(onlyShard, requester, nil, time.Now().Add(-warmUpTime))
	r.link = &link{server: &scheduler.Server{Self: remote, Load: load.NewTracker(), Scheduler: r.scheduler, State: state, Log: zerolog.Nop()}}
	// The client of the remote instance dispatches the requests that wait there.
	scheduler.NewClient(scheduler.ClientOptions{
		Self: remote, Peers: r.link, Members: &fixedMembers{scheduler: remote}, Local: r.scheduler, Load: load.NewTracker(), State: state,
		Log: zerolog.Nop(),
	})
	r.client = scheduler.NewClient(scheduler.ClientOptions{
		Self: self, Peers: r.link, Members: &fixedMembers{scheduler: remote}, Local: newScheduler(state), Load: load.NewTracker(),
		State: state, Log: zerolog.Nop(),
	})
	return r
}

// fill uses all slots of one engine and returns the placements.
func (r *busyShard) fill() []scheduler.PlaceResult {
	var placed []scheduler.PlaceResult
	for n := range slots {
		result, ok := r.client.Place(context.Background(), waitingRequest(1000+n))
		Expect(ok).To(BeTrue())
		Expect(result.Refusal).To(BeNil())
		Expect(result.Waiting).To(BeFalse())
		result.Placement.PrefillDone()
		placed = append(placed, result)
	}
	return placed
}

// waiting returns the number of requests in the queue.
func (r *busyShard) waiting() int { return r.scheduler.Waiting()[onlyShard] }

// placeUntilDecided renews a request until it is placed or refused, as the request path does.
func (r *busyShard) placeUntilDecided(ctx context.Context, request scheduler.PlaceRequest) (scheduler.PlaceResult, bool) {
	for {
		result, ok := r.client.Place(ctx, request)
		if !ok || !result.Waiting {
			return result, ok
		}
	}
}

var _ = Describe("a request that waits at a scheduler", func() {
	var r *busyShard
	BeforeEach(func() { r = newBusyShard(newState(1)) })

	// Guards against a request that is refused although a slot becomes free within its objective, and against one that learns of it
	// only when it asks the next time.
	It("is placed when another one ends", func() {
		placed := r.fill()
		results := make(chan scheduler.PlaceResult, 1)
		go func() {
			defer GinkgoRecover()
			result, _ := r.placeUntilDecided(context.Background(), waitingRequest(1))
			results <- result
		}()
		Eventually(r.waiting, eventTimeout).Should(Equal(1))
		Consistently(results, 400*time.Millisecond).ShouldNot(Receive())
		placed[0].Placement.End()
		var result scheduler.PlaceResult
		Eventually(results, eventTimeout).Should(Receive(&result))
		Expect(result.Refusal).To(BeNil())
		Expect(result.Choice.Primary.ID).To(Equal("i-0"))
		Expect(r.scheduler.Stats().PlacedAfterWaiting.Load()).To(BeEquivalentTo(1))
		Expect(r.waiting()).To(BeZero())
	})

	// Guards against an instance that cannot tell a busy scheduler from a silent one.
	It("gets a reply within its hold time, and again after a renewal", func() {
		r.fill()
		for range 2 {
			start := time.Now()
			result, ok := r.client.Place(context.Background(), waitingRequest(1))
			Expect(ok).To(BeTrue())
			Expect(result.Waiting).To(BeTrue())
			Expect(time.Since(start)).To(BeNumerically("<", scheduler.HoldTime+80*time.Millisecond))
			Expect(r.waiting()).To(Equal(1))
		}
	})

	// Guards against a slot that is given to an instance that has died, and against a queue that fills with its requests.
	It("leaves the queue if it is not renewed", func() {
		r.fill()
		result, _ := r.client.Place(context.Background(), waitingRequest(1))
		Expect(result.Waiting).To(BeTrue())
		Eventually(r.waiting, time.Second).Should(BeZero())
		Expect(r.scheduler.Stats().NotRenewed.Load()).To(BeEquivalentTo(1))
	})

	// Guards against a slot that is lost for the request's whole time limit: it became free after a reply, and the instance died before
	// the renewal.
	It("loses a placement that no renewal has asked for", func() {
		placed := r.fill()
		result, _ := r.client.Place(context.Background(), waitingRequest(1))
		Expect(result.Waiting).To(BeTrue())
		placed[0].Placement.End()
		Eventually(func() int64 { return r.scheduler.Stats().PlacedAfterWaiting.Load() }, time.Second).Should(BeEquivalentTo(1))
		second, ok := r.placeUntilDecided(context.Background(), waitingRequest(2))
		Expect(ok).To(BeTrue())
		Expect(second.Refusal).To(BeNil())
	})

	// Guards against a placement that is lost because the slot became free between a reply and the next renewal.
	It("gets with its renewal what was decided since the last reply", func() {
		placed := r.fill()
		result, _ := r.client.Place(context.Background(), waitingRequest(1))
		Expect(result.Waiting).To(BeTrue())
		placed[0].Placement.End()
		Eventually(r.waiting, time.Second).Should(BeZero())
		start := time.Now()
		result, ok := r.client.Place(context.Background(), waitingRequest(1))
		Expect(ok).To(BeTrue())
		Expect(result.Waiting).To(BeFalse())
		Expect(result.Choice.Primary.ID).To(Equal("i-0"))
		Expect(time.Since(start)).To(BeNumerically("<", scheduler.HoldTime))
	})

	// Guards against a slot for a caller that has left.
	It("leaves the queue at once when its caller leaves", func() {
		r.fill()
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan bool, 1)
		go func() {
			_, ok := r.placeUntilDecided(ctx, waitingRequest(1))
			ended <- ok
		}()
		Eventually(r.waiting, eventTimeout).Should(Equal(1))
		cancel()
		Eventually(ended, scheduler.HoldTime).Should(Receive(BeFalse()))
		Expect(r.waiting()).To(BeZero())
	})

	// Guards against requests that wait for a scheduler that has died, frozen or been cut off, and against each of them paying for it.
	It("learns within the hold time and 80 ms that the scheduler is silent, and the next one at once", func() {
		r.fill()
		r.link.isSilent.Store(true)
		start := time.Now()
		_, ok := r.client.Place(context.Background(), waitingRequest(1))
		Expect(ok).To(BeFalse())
		Expect(time.Since(start)).To(BeNumerically("<", 500*time.Millisecond))
		start = time.Now()
		// The next one is asked in its place: this instance, which has no warm shard yet.
		_, ok = r.client.Place(context.Background(), waitingRequest(2))
		Expect(ok).To(BeFalse())
		Expect(time.Since(start)).To(BeNumerically("<", scheduler.HoldTime))
		Expect(r.link.requests(remote)).To(HaveLen(slots + 1))
	})

	// Guards against a slot that stays in use because the reply with the placement was lost.
	It("ends a placement whose reply is lost", func() {
		r.link.dropsReplies.Store(true)
		_, ok := r.client.Place(context.Background(), waitingRequest(1))
		Expect(ok).To(BeFalse())
		r.link.dropsReplies.Store(false)
		time.Sleep(300 * time.Millisecond)
		r.fill()
	})

	// Guards against a restarted scheduler that lets requests wait while it does not know the load on the shard.
	It("is told that a restarted scheduler is not ready", func() {
		r.fill()
		_, ok := r.client.Place(context.Background(), waitingRequest(1))
		Expect(ok).To(BeTrue())
		r.link.server.Scheduler = newScheduler(r.state)
		start := time.Now()
		_, ok = r.client.Place(context.Background(), waitingRequest(1))
		Expect(ok).To(BeFalse())
		Expect(time.Since(start)).To(BeNumerically("<", scheduler.HoldTime))
	})

	// Guards against instances of the earlier version, which know no queue: they reply at once, and the instance must know that.
	It("gets the decision of a scheduler of the earlier version at once", func() {
		r.fill()
		r.link.isOld = true
		result, ok := r.client.Place(context.Background(), waitingRequest(1))
		Expect(ok).To(BeTrue())
		Expect(result.Queues).To(BeFalse())
		Expect(result.Refusal.Reason).To(Equal(placement.SlotsFull))
	})

	// Guards against a request that waits at two schedulers, or goes before those that wait.
	It("is placed at once or refused if it only tries", func() {
		placed := r.fill()
		try := func(n int) scheduler.PlaceResult {
			request := waitingRequest(n)
			request.Terms.Try, request.Terms.Hold = true, 0
			result, ok := r.client.Place(context.Background(), request)
			Expect(ok).To(BeTrue())
			return result
		}
		Expect(try(1).Refusal).NotTo(BeNil())
		Expect(r.waiting()).To(BeZero())
		placed[0].Placement.End()
		Expect(try(2).Refusal).To(BeNil())
		first := waitingRequest(3)
		first.Terms.Rank = 0
		first.Terms.Hold = 0
		start := time.Now()
		result, _ := r.client.Place(context.Background(), first)
		Expect(result.Waiting).To(BeTrue())
		Expect(time.Since(start)).To(BeNumerically("<", scheduler.HoldTime))
		placed[1].Placement.End()
		Expect(try(4).Refusal).NotTo(BeNil())
	})

	// Guards against a request that waits in vain for a place that another one has got.
	It("is told at once that it is displaced", func() {
		r.fill()
		// The rank of the low one has more than its least share: it uses all slots.
		low := waitingRequest(1)
		low.Terms.Useful = 2500 * time.Millisecond
		results := make(chan scheduler.PlaceResult, 1)
		var others sync.WaitGroup
		ctx, cancel := context.WithCancel(context.Background())
		defer others.Wait()
		defer cancel()
		others.Add(1)
		go func() {
			defer others.Done()
			result, _ := r.placeUntilDecided(ctx, low)
			results <- result
		}()
		Eventually(r.waiting, eventTimeout).Should(Equal(1))
		// More requests of the highest rank than the engine can prefill in the useful time of the low one.
		for n := range 200 {
			request := waitingRequest(10 + n)
			request.Need.Tokens = 20_000
			request.Terms.Rank = 0
			others.Add(1)
			go func() {
				defer others.Done()
				r.placeUntilDecided(ctx, request)
			}()
		}
		var result scheduler.PlaceResult
		Eventually(results, 3*time.Second).Should(Receive(&result))
		Expect(result.Refusal.Reason).To(BeElementOf(placement.Reason("displaced"), placement.Reason("team_over_share")))
		Expect(result.Refusal.RetryAfter).To(BeNumerically(">", 0))
	})

	// Guards against a request that is kept, and a reply that is owed, when the shard goes to another scheduler.
	It("is told to go elsewhere when its scheduler gives up the shard", func() {
		r.fill()
		ended := make(chan bool, 1)
		go func() {
			_, ok := r.placeUntilDecided(context.Background(), waitingRequest(1))
			ended <- ok
		}()
		Eventually(r.waiting, eventTimeout).Should(Equal(1))
		r.scheduler.Resign(func(scheduler.Shard) bool { return false }, time.Now())
		Eventually(ended, scheduler.HoldTime).Should(Receive(BeFalse()))
	})

	// Guards against a grant for an endpoint in cold start that reaches the endpoint in another second than the one in which it was
	// counted: a grant that no reply can carry at once, and one whose age the instance overestimates or underestimates.
	It("gets a grant for an endpoint in cold start only with a reply, which states the grant's time", func() {
		r.fill()
		result, _ := r.client.Place(context.Background(), waitingRequest(1))
		Expect(result.Waiting).To(BeTrue())
		r.state.PutEndpoint(&fleet.Endpoint{ID: "cold", Service: service, Slots: slots, ColdUntil: time.Now().Add(time.Hour)})
		Consistently(r.waiting, 100*time.Millisecond).Should(Equal(1))
		start := time.Now()
		result, ok := r.client.Place(context.Background(), waitingRequest(1))
		Expect(ok).To(BeTrue())
		Expect(result.Choice.Primary.ID).To(Equal("cold"))
		Expect(result.Held).To(BeNumerically("<=", time.Since(start)))
	})

	// Guards against a placement on an endpoint that has become unusable for the instance while the request waited.
	It("gets no endpoint that its last renewal excludes", func() {
		placed := r.fill()
		result, _ := r.client.Place(context.Background(), waitingRequest(1))
		Expect(result.Waiting).To(BeTrue())
		renewal := waitingRequest(1)
		renewal.Avoid = []uint32{r.state.Endpoint("i-0").Key()}
		results := make(chan scheduler.PlaceResult, 1)
		go func() {
			result, _ := r.client.Place(context.Background(), renewal)
			results <- result
		}()
		time.Sleep(50 * time.Millisecond)
		placed[0].Placement.End()
		Eventually(results, eventTimeout).Should(Receive(&result))
		Expect(result.Waiting).To(BeTrue())
	})
})

package scheduler_test

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/scheduler"
)

// partsOf returns the body and the extension of a message as they are encoded on the wire.
func partsOf(f *testing.F, kind peer.Kind, body any) (encoded, extension []byte) {
	frame, err := peer.EncodeFrame(kind, 1, false, body)
	if err != nil {
		f.Fatal(err)
	}
	envelopes, err := new(peer.Decoder).Feed(frame)
	if err != nil {
		f.Fatal(err)
	}
	return envelopes[0].Body, envelopes[0].Extension
}

// countedReplies is a deferral that counts how often it was used, and keeps the replies.
type countedReplies struct {
	deferred int
	replies  []any
}

func (c *countedReplies) Defer() (reply func(peer.Kind, any), ok bool) {
	c.deferred++
	return func(_ peer.Kind, body any) { c.replies = append(c.replies, body) }, true
}

// FuzzWaitingRequest guards against requests after which a scheduler panics, keeps a request for ever, does not reply or replies twice,
// or replies beyond its bounds.
func FuzzWaitingRequest(f *testing.F) {
	state := newState(2)
	key := state.Endpoint("i-0").Key()
	request := peer.PlaceRequest{
		From: requester, Number: 1, Shard: peer.PlaceShard{Service: onlyShard.Service, Count: 1}, Tokens: 100, Output: 100,
		ObjectiveMS: 1000, MaxGapMS: 300, LimitMS: 5000, Avoid: []uint32{key}, Suspects: []uint32{key}, Full: []uint32{key},
	}
	for _, extension := range []peer.PlaceRequestExtension{
		{Waits: true},
		{Waits: true, Rank: 3, Team: 9, Prompt: 7, UsedMS: 100, FullObjectiveMS: 1000, UsefulMS: 4000, HoldMS: 250},
		{Waits: true, Failed: remote, UsefulMS: 1000, HoldMS: 1000},
		{Waits: true, UsedMS: math.MaxInt64, HoldMS: math.MaxInt64, Rank: math.MinInt64, FullObjectiveMS: -1, UsefulMS: math.MaxInt64},
	} {
		for _, tokens := range []int64{100, 90_000, peer.MaxTokens} {
			message := request
			message.Extension, message.Tokens = extension, tokens
			body, extension := partsOf(f, peer.KindPlaceRequest, &message)
			f.Add(body, extension)
		}
	}
	f.Fuzz(func(t *testing.T, body, extension []byte) {
		now := time.Now()
		sched := newScheduler(state)
		sched.Sync(onlyShard, requester, nil, now.Add(-warmUpTime))
		for n := range 2 * slots {
			sched.Place(shortRequest(1000+n), now)
			sched.PrefillDone(onlyShard, requester, load.Number(1000+n))
		}
		server := &scheduler.Server{Self: self, Load: load.NewTracker(), Scheduler: sched, State: state, Log: zerolog.Nop()}
		later := &countedReplies{}
		envelope := peer.Envelope{Kind: peer.KindPlaceRequest, Seq: 1, Body: body, Extension: extension, Deferral: later}
		if _, reply := server.Handle(peer.Hello{Name: "peer"}, &envelope); reply != nil && later.deferred > 0 {
			t.Fatalf("reply %+v beside a deferred one", reply)
		}
		for _, at := range []time.Duration{0, time.Second, 2 * time.Second} {
			sched.Dispatch(now.Add(at))
		}
		if len(later.replies) != later.deferred {
			t.Fatalf("%d replies to %d requests", len(later.replies), later.deferred)
		}
		for _, reply := range later.replies {
			if invalid := reply.(*peer.PlaceReply).Invalid(); invalid.Count > 0 {
				t.Fatalf("reply %+v: %+v", reply, invalid)
			}
		}
		for shard, waiting := range sched.Waiting() {
			if waiting > 0 {
				t.Fatalf("%d requests without a renewal wait for %+v", waiting, shard)
			}
		}
	})
}

// FuzzWaitingReply guards against replies to waiting requests after which an instance panics, or uses a time that no reply can mean.
func FuzzWaitingReply(f *testing.F) {
	state := newState(2)
	for _, reply := range []*peer.PlaceReply{
		{Extension: peer.PlaceReplyExtension{Queues: true, Waiting: true}},
		{Placed: true, Primary: state.Endpoint("i-0").Key(), Extension: peer.PlaceReplyExtension{Queues: true, HeldUS: 200_000}},
		{Reason: "displaced", RetryAfterMS: 900, Extension: peer.PlaceReplyExtension{Queues: true, HeldUS: math.MaxInt64}},
		{NotReady: true, Placed: true, Extension: peer.PlaceReplyExtension{Waiting: true}},
	} {
		body, extension := partsOf(f, peer.KindPlaceReply, reply)
		f.Add(body, extension)
	}
	f.Fuzz(func(t *testing.T, body, extension []byte) {
		peers := &fakeWaitPeers{reply: func(reply *peer.PlaceReply) error {
			envelope := peer.Envelope{Kind: peer.KindPlaceReply, Body: msgpack.RawMessage(body), Extension: extension}
			return envelope.Decode(reply)
		}}
		client := scheduler.NewClient(scheduler.ClientOptions{
			Self: self, Peers: peers, Members: &fixedMembers{scheduler: remote}, Local: newScheduler(state), Load: load.NewTracker(),
			State: state, Log: zerolog.Nop(),
		})
		result, ok := client.Place(context.Background(), waitingRequest(1))
		switch {
		case !ok:
		case result.Held < 0 || result.Held > time.Second:
			t.Fatalf("held for %v", result.Held)
		case result.Waiting:
			result.Placement.End()
		case result.Refusal != nil:
			if r := result.Refusal; r.RetryAfter < 0 || r.RetryAfter > time.Hour || len(r.Reason) > 64 {
				t.Fatalf("refusal %+v", r)
			}
		case result.Choice.Primary == nil:
			t.Fatal("a choice without an endpoint")
		}
	})
}

// fakeWaitPeers replies to place requests with the result of a function.
type fakeWaitPeers struct{ reply func(*peer.PlaceReply) error }

func (f *fakeWaitPeers) Call(_ context.Context, _ string, _ peer.Kind, _, out any) error {
	return f.reply(out.(*peer.PlaceReply))
}

func (f *fakeWaitPeers) Send(context.Context, string, peer.Kind, any) error { return nil }

func (f *fakeWaitPeers) Disconnect(string) {}

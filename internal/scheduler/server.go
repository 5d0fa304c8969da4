package scheduler

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/peer"
)

// Server passes the messages of peer instances to a scheduler.
type Server struct {
	// Self is the peer address of this instance.
	Self string
	// Load tracks the requests of this instance.
	Load      *load.Tracker
	Scheduler *Scheduler
	State     *fleet.State
	Log       zerolog.Logger

	rejections peer.Rejections
}

// logInvalid logs a value of a message that is ignored.
func logInvalid(log zerolog.Logger, rejections *peer.Rejections, sender string, invalid peer.Invalid) {
	if invalid.Count > 0 && rejections.IsFirst(sender, invalid.First, time.Now()) {
		log.Warn().Str("peer", sender).Str("field", invalid.First).Str("value", invalid.Value).Int("count", invalid.Count).
			Msg("peer_value_ignored")
	}
}

// Handle processes a message and returns the reply. The kind is zero if the message has no reply.
func (s *Server) Handle(from peer.Hello, envelope *peer.Envelope) (peer.Kind, any) {
	now := time.Now()
	switch envelope.Kind {
	case peer.KindPlaceRequest:
		var m peer.PlaceRequest
		if !s.decode(from, envelope, &m) {
			break
		}
		if invalid := m.Invalid(); invalid.Count > 0 {
			logInvalid(s.Log, &s.rejections, from.Name, invalid)
			return peer.KindPlaceReply, peer.PlaceReply{NotReady: true}
		}
		return s.place(&m, envelope.Deferral, now)
	case peer.KindPlaceUpdate:
		var m peer.PlaceUpdate
		if s.decode(from, envelope, &m) {
			logInvalid(s.Log, &s.rejections, from.Name, m.RemoveInvalid())
			s.update(&m, now)
		}
	case peer.KindPlaceSync:
		var m peer.PlaceSync
		if s.decode(from, envelope, &m) {
			logInvalid(s.Log, &s.rejections, from.Name, m.RemoveInvalid())
			s.sync(&m, now)
		}
	case peer.KindPlaceCollect:
		var m peer.PlaceCollect
		if s.decode(from, envelope, &m) {
			return peer.KindPlaceSync, s.list(&m, now)
		}
	}
	return 0, nil
}

func (s *Server) decode(from peer.Hello, envelope *peer.Envelope, into any) bool {
	err := envelope.Decode(into)
	if err != nil {
		s.Log.Warn().Str("peer", from.Name).Err(err).Msg("placement_message_malformed")
	}
	return err == nil
}

// place places a request, or lets it wait if it may. Without a deferral, because too many replies are deferred, it is placed or
// refused like one that may not wait.
func (s *Server) place(m *peer.PlaceRequest, deferral peer.Deferral, now time.Time) (peer.Kind, any) {
	request, ok := placeRequestOf(m)
	if !ok {
		return peer.KindPlaceReply, peer.PlaceReply{NotReady: true}
	}
	if request.Terms != nil && deferral != nil {
		if send, ok := deferral.Defer(); ok {
			s.Scheduler.PlaceOrWait(request, now, func(o Outcome) { send(peer.KindPlaceReply, outcomeMessage(&o)) })
			return 0, nil
		}
	}
	choice, refusal, ok := s.Scheduler.Place(request, now)
	if !ok {
		return peer.KindPlaceReply, peer.PlaceReply{NotReady: true}
	}
	return peer.KindPlaceReply, replyWithReturns(choice, refusal)
}

// list returns the requests of this instance on a shard.
func (s *Server) list(m *peer.PlaceCollect, now time.Time) peer.PlaceSync {
	shard, ok := shardOf(m.Shard)
	if !ok {
		return peer.PlaceSync{From: s.Self}
	}
	return syncMessage(s.Self, shard, requestsOn(s.Load, shard, now))
}

func (s *Server) update(m *peer.PlaceUpdate, now time.Time) {
	shard, ok := shardOf(m.Shard)
	if ok {
		s.Scheduler.Observe(shard, m.From, load.Number(m.Number), observationOf(&m.Extension), now)
	}
	switch {
	case !ok:
	case m.Ended:
		s.Scheduler.End(shard, m.From, load.Number(m.Number))
	default:
		s.Scheduler.PrefillDone(shard, m.From, load.Number(m.Number))
	}
}

func (s *Server) sync(m *peer.PlaceSync, now time.Time) {
	if shard, ok := shardOf(m.Shard); ok {
		s.Scheduler.Sync(shard, m.From, requestStatesOf(m.Works, s.State.Snapshot().ByKey), now)
	}
}

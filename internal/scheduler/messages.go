package scheduler

import (
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/placement"
)

func askMessage(ask *PlaceRequest) peer.PlaceRequest {
	return peer.PlaceRequest{
		From: ask.From, Number: uint64(ask.Number), Shard: ask.Shard.message(),
		Tokens: ask.Need.Tokens, Output: ask.Need.Output, ObjectiveMS: ask.Need.Objective.Milliseconds(),
		MaxGapMS: ask.Need.MaxGap.Milliseconds(), LimitMS: ask.Limit.Milliseconds(), Avoid: ask.Avoid, Suspects: ask.Suspects,
	}
}

// askOf returns the ask of a message. It reports false if the message names no shard.
func askOf(m *peer.PlaceRequest) (PlaceRequest, bool) {
	shard, ok := shardOf(m.Shard)
	return PlaceRequest{
		From: m.From, Number: load.Number(m.Number), Shard: shard, Limit: milliseconds(m.LimitMS),
		Avoid: m.Avoid, Suspects: m.Suspects,
		Need: placement.Need{
			Tokens: m.Tokens, Output: m.Output, Objective: milliseconds(m.ObjectiveMS), MaxGap: milliseconds(m.MaxGapMS),
		},
	}, ok
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

func replyMessage(choice placement.Choice, refusal *placement.Refusal) peer.PlaceReply {
	if refusal != nil {
		return peer.PlaceReply{
			Reason: string(refusal.Reason), RetryAfterMS: refusal.RetryAfter.Milliseconds(),
			PredictedUS: refusal.Predicted.Microseconds(), Candidates: refusal.Candidates,
		}
	}
	reply := peer.PlaceReply{
		Placed: true, Primary: choice.Primary.Key(), Helpers: keysOf(choice.Helpers),
		PartUS: choice.Part.Microseconds(), PredictedUS: choice.Predicted.Microseconds(),
	}
	for _, h := range choice.Reservations {
		reply.Reservations = append(reply.Reservations, peer.PlaceReservation{Endpoint: h.Endpoint.Key(), Tokens: h.Tokens})
	}
	return reply
}

func keysOf(endpoints []*fleet.Endpoint) []uint32 {
	var keys []uint32
	for _, e := range endpoints {
		keys = append(keys, e.Key())
	}
	return keys
}

func refusalOf(m *peer.PlaceReply) *placement.Refusal {
	return &placement.Refusal{
		Reason: placement.Reason(m.Reason), RetryAfter: milliseconds(m.RetryAfterMS),
		Predicted: microseconds(m.PredictedUS), Candidates: m.Candidates,
	}
}

// choiceOf returns the choice of a reply. It reports false if it names an endpoint that this instance does not know.
func choiceOf(m *peer.PlaceReply, known map[uint32]*fleet.Endpoint) (placement.Choice, bool) {
	choice := placement.Choice{
		Primary: known[m.Primary], Part: microseconds(m.PartUS), Predicted: microseconds(m.PredictedUS),
	}
	whole := choice.Primary != nil
	for _, key := range m.Helpers {
		whole = whole && known[key] != nil
		choice.Helpers = append(choice.Helpers, known[key])
	}
	for _, h := range m.Reservations {
		whole = whole && known[h.Endpoint] != nil
		choice.Reservations = append(choice.Reservations, placement.Reservation{Endpoint: known[h.Endpoint], Tokens: h.Tokens})
	}
	return choice, whole
}

func workMessage(p *load.RequestState) peer.PlacedWork {
	w := peer.PlacedWork{
		Number: uint64(p.Number), Primary: p.Work.Primary.Key(), Helpers: keysOf(p.Work.Helpers), Tokens: p.Work.Tokens,
		PartUS: p.Work.Part.Microseconds(), PredictedUS: p.Work.Predicted.Microseconds(),
		MaxGapMS: p.Work.MaxGap.Milliseconds(), ObjectiveMS: p.Work.Objective.Milliseconds(),
		LimitMS: p.Work.Limit.Milliseconds(), ElapsedMS: p.Elapsed.Milliseconds(), PrefillDone: p.PrefillDone,
	}
	for e, tokens := range p.Work.Reserved {
		w.Reservations = append(w.Reservations, peer.PlaceReservation{Endpoint: e.Key(), Tokens: tokens})
	}
	return w
}

// worksOf returns the listed work, apart from that on endpoints which this instance does not know.
func worksOf(messages []peer.PlacedWork, known map[uint32]*fleet.Endpoint) []load.RequestState {
	var works []load.RequestState
	for i := range messages {
		m := &messages[i]
		w := load.Work{
			Primary: known[m.Primary], Tokens: m.Tokens, Part: microseconds(m.PartUS), Predicted: microseconds(m.PredictedUS),
			MaxGap: milliseconds(m.MaxGapMS), Objective: milliseconds(m.ObjectiveMS), Limit: milliseconds(m.LimitMS),
			Reserved: make(map[*fleet.Endpoint]int64, len(m.Reservations)),
		}
		if w.Primary == nil {
			continue
		}
		for _, key := range m.Helpers {
			if e := known[key]; e != nil {
				w.Helpers = append(w.Helpers, e)
			}
		}
		for _, h := range m.Reservations {
			if e := known[h.Endpoint]; e != nil {
				w.Reserved[e] = h.Tokens
			}
		}
		works = append(works, load.RequestState{
			Number: load.Number(m.Number), Work: w, Elapsed: milliseconds(m.ElapsedMS), PrefillDone: m.PrefillDone,
		})
	}
	return works
}

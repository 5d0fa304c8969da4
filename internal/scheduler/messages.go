package scheduler

import (
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/placement"
)

func askMessage(ask *Ask) peer.PlaceAsk {
	return peer.PlaceAsk{
		From: ask.From, Number: uint64(ask.Number), Shard: ask.Shard.message(),
		Tokens: ask.Need.Tokens, Output: ask.Need.Output, ObjectiveMS: ask.Need.Objective.Milliseconds(),
		PauseMS: ask.Need.MaxPause.Milliseconds(), LimitMS: ask.Limit.Milliseconds(), Avoid: ask.Avoid, Suspects: ask.Suspects,
	}
}

// askOf returns the ask of a message. It reports false if the message names no shard.
func askOf(m *peer.PlaceAsk) (Ask, bool) {
	shard, ok := shardOf(m.Shard)
	return Ask{
		From: m.From, Number: load.Number(m.Number), Shard: shard, Limit: milliseconds(m.LimitMS),
		Avoid: m.Avoid, Suspects: m.Suspects,
		Need: placement.Need{
			Tokens: m.Tokens, Output: m.Output, Objective: milliseconds(m.ObjectiveMS), MaxPause: milliseconds(m.PauseMS),
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
		Placed: true, First: choice.First.Key(), Helpers: keysOf(choice.Helpers),
		PartUS: choice.Part.Microseconds(), PredictedUS: choice.Predicted.Microseconds(),
	}
	for _, h := range choice.Holdings {
		reply.Holdings = append(reply.Holdings, peer.PlaceHolding{Endpoint: h.Endpoint.Key(), Tokens: h.Tokens})
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
		First: known[m.First], Part: microseconds(m.PartUS), Predicted: microseconds(m.PredictedUS),
	}
	whole := choice.First != nil
	for _, key := range m.Helpers {
		whole = whole && known[key] != nil
		choice.Helpers = append(choice.Helpers, known[key])
	}
	for _, h := range m.Holdings {
		whole = whole && known[h.Endpoint] != nil
		choice.Holdings = append(choice.Holdings, placement.Holding{Endpoint: known[h.Endpoint], Tokens: h.Tokens})
	}
	return choice, whole
}

func workMessage(p *load.Placed) peer.PlacedWork {
	w := peer.PlacedWork{
		Number: uint64(p.Number), First: p.Work.First.Key(), Helpers: keysOf(p.Work.Helpers), Tokens: p.Work.Tokens,
		PartUS: p.Work.Part.Microseconds(), PredictedUS: p.Work.Predicted.Microseconds(),
		PauseMS: p.Work.MaxPause.Milliseconds(), ObjectiveMS: p.Work.Objective.Milliseconds(),
		LimitMS: p.Work.Limit.Milliseconds(), ElapsedMS: p.Elapsed.Milliseconds(), Read: p.Read,
	}
	for e, tokens := range p.Work.Held {
		w.Holdings = append(w.Holdings, peer.PlaceHolding{Endpoint: e.Key(), Tokens: tokens})
	}
	return w
}

// worksOf returns the listed work, apart from that on endpoints which this instance does not know.
func worksOf(messages []peer.PlacedWork, known map[uint32]*fleet.Endpoint) []load.Placed {
	var works []load.Placed
	for i := range messages {
		m := &messages[i]
		w := load.Work{
			First: known[m.First], Tokens: m.Tokens, Part: microseconds(m.PartUS), Predicted: microseconds(m.PredictedUS),
			MaxPause: milliseconds(m.PauseMS), Objective: milliseconds(m.ObjectiveMS), Limit: milliseconds(m.LimitMS),
			Held: make(map[*fleet.Endpoint]int64, len(m.Holdings)),
		}
		if w.First == nil {
			continue
		}
		for _, key := range m.Helpers {
			if e := known[key]; e != nil {
				w.Helpers = append(w.Helpers, e)
			}
		}
		for _, h := range m.Holdings {
			if e := known[h.Endpoint]; e != nil {
				w.Held[e] = h.Tokens
			}
		}
		works = append(works, load.Placed{Number: load.Number(m.Number), Work: w, Elapsed: milliseconds(m.ElapsedMS), Read: m.Read})
	}
	return works
}

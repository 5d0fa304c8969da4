package scheduler

import (
	"time"

	"github.com/acacialift/acacialift/internal/fleet"
	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/placement"
)

func placeRequestMessage(request *PlaceRequest) peer.PlaceRequest {
	message := peer.PlaceRequest{
		From: request.From, Number: uint64(request.Number), Shard: request.Shard.message(),
		Tokens: request.Need.Tokens, Output: request.Need.Output, ObjectiveMS: request.Need.Objective.Milliseconds(),
		MaxGapMS: request.Need.MaxGap.Milliseconds(), LimitMS: request.Limit.Milliseconds(),
		Avoid: request.Avoid, Suspects: request.Suspects, Full: request.Full,
	}
	if t := request.Terms; t != nil {
		message.Extension = peer.PlaceRequestExtension{
			Waits: true, Rank: int64(t.Rank), Team: t.Team, Prompt: t.Prompt, UsedMS: t.Used.Milliseconds(),
			FullObjectiveMS: t.FullObjective.Milliseconds(), UsefulMS: t.Useful.Milliseconds(),
			Try: t.Try, HoldMS: t.Hold.Milliseconds(), Failed: t.Failed,
		}
	}
	if r := request.Returns; r != nil && request.Terms == nil {
		message.Extension = peer.PlaceRequestExtension{Rank: int64(r.Rank), Prompt: r.Prompt, HasReturns: true}
	}
	return message
}

// returnTermsOf returns the return terms of a message; nil if it has none.
func returnTermsOf(m *peer.PlaceRequestExtension) *ReturnTerms {
	if !m.HasReturns {
		return nil
	}
	return &ReturnTerms{Prompt: m.Prompt, Rank: int(m.Rank)}
}

// termsOf returns the terms of a message; nil if its request may not wait.
func termsOf(m *peer.PlaceRequestExtension) *WaitTerms {
	if !m.Waits {
		return nil
	}
	return &WaitTerms{
		Rank: int(m.Rank), Team: m.Team, Prompt: m.Prompt, Used: milliseconds(m.UsedMS),
		FullObjective: milliseconds(m.FullObjectiveMS), Useful: milliseconds(m.UsefulMS),
		Try: m.Try, Hold: min(milliseconds(m.HoldMS), HoldTime), Failed: m.Failed,
	}
}

// placeRequestOf returns the request of a message. It returns false if the message has no valid shard.
func placeRequestOf(m *peer.PlaceRequest) (PlaceRequest, bool) {
	shard, ok := shardOf(m.Shard)
	return PlaceRequest{
		From: m.From, Number: load.Number(m.Number), Shard: shard, Limit: milliseconds(m.LimitMS),
		Avoid: m.Avoid, Suspects: m.Suspects, Full: m.Full,
		Need: placement.Need{
			Tokens: m.Tokens, Output: m.Output, Objective: milliseconds(m.ObjectiveMS), MaxGap: milliseconds(m.MaxGapMS),
		},
		Terms: termsOf(&m.Extension), Returns: returnTermsOf(&m.Extension),
	}, ok
}

func milliseconds(ms int64) time.Duration { return peer.Milliseconds(ms) }

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

func replyMessage(choice placement.Choice, refusal *placement.Refusal) peer.PlaceReply {
	if refusal != nil {
		return peer.PlaceReply{
			Reason: string(refusal.Reason), RetryAfterMS: refusal.RetryAfter.Milliseconds(),
			PredictedUS: refusal.Predicted.Microseconds(), Candidates: refusal.Candidates,
			Extension: peer.PlaceReplyExtension{Told: refusal.Told, Returning: refusal.Returning},
		}
	}
	reply := peer.PlaceReply{
		Placed: true, Primary: choice.Primary.Key(), Helpers: keysOf(choice.Helpers),
		PartUS: choice.Part.Microseconds(), PredictedUS: choice.Predicted.Microseconds(),
	}
	for _, r := range choice.Reservations {
		reply.Reservations = append(reply.Reservations, peer.PlaceReservation{Endpoint: r.Endpoint.Key(), Tokens: r.Tokens})
	}
	return reply
}

// outcomeMessage returns the reply to a request that may wait.
func outcomeMessage(o *Outcome) *peer.PlaceReply {
	var reply peer.PlaceReply
	switch {
	case o.NotReady:
		reply.NotReady = true
	case o.Waiting:
	default:
		reply = replyMessage(o.Choice, o.Refusal)
	}
	x := &reply.Extension
	x.Queues, x.Waiting, x.HeldUS = true, o.Waiting, min(o.Held, peer.MaxHold).Microseconds()
	return &reply
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
		Told: m.Extension.Told, Returning: m.Extension.Returning,
	}
}

// choiceOf returns the choice of a reply. It returns false if this instance does not know one of the endpoints as one of the service.
func choiceOf(m *peer.PlaceReply, known map[uint32]*fleet.Endpoint, service uint32) (placement.Choice, bool) {
	endpoint := func(key uint32) *fleet.Endpoint {
		if e := known[key]; e != nil && serviceKey(e) == service {
			return e
		}
		return nil
	}
	choice := placement.Choice{
		Primary: endpoint(m.Primary), Part: microseconds(m.PartUS), Predicted: microseconds(m.PredictedUS),
	}
	complete := choice.Primary != nil
	for _, key := range m.Helpers {
		helper := endpoint(key)
		complete = complete && helper != nil
		choice.Helpers = append(choice.Helpers, helper)
	}
	for _, r := range m.Reservations {
		holder := endpoint(r.Endpoint)
		complete = complete && holder != nil
		choice.Reservations = append(choice.Reservations, placement.Reservation{Endpoint: holder, Tokens: r.Tokens})
	}
	return choice, complete
}

// syncMessage returns the list of an instance's requests on a shard.
func syncMessage(from string, shard Shard, requests []load.RequestState) peer.PlaceSync {
	message := peer.PlaceSync{From: from, Shard: shard.message()}
	for i := range requests {
		message.Works = append(message.Works, placedWorkMessage(&requests[i]))
	}
	return message
}

func placedWorkMessage(r *load.RequestState) peer.PlacedWork {
	w := peer.PlacedWork{
		Number: uint64(r.Number), Primary: r.Work.Primary.Key(), Helpers: keysOf(r.Work.Helpers), Tokens: r.Work.Tokens,
		PartUS: r.Work.Part.Microseconds(), PredictedUS: r.Work.Predicted.Microseconds(),
		MaxGapMS: r.Work.MaxGap.Milliseconds(), ObjectiveMS: r.Work.Objective.Milliseconds(),
		LimitMS: r.Work.Limit.Milliseconds(), ElapsedMS: r.Elapsed.Milliseconds(), PrefillDone: r.PrefillDone,
	}
	for e, tokens := range r.Work.Reserved {
		w.Reservations = append(w.Reservations, peer.PlaceReservation{Endpoint: e.Key(), Tokens: tokens})
	}
	return w
}

// requestStatesOf returns the listed requests, without those whose primary endpoint this instance does not know.
func requestStatesOf(messages []peer.PlacedWork, known map[uint32]*fleet.Endpoint) []load.RequestState {
	var requests []load.RequestState
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
		for _, r := range m.Reservations {
			if e := known[r.Endpoint]; e != nil {
				w.Reserved[e] = r.Tokens
			}
		}
		requests = append(requests, load.RequestState{
			Number: load.Number(m.Number), Work: w, Elapsed: milliseconds(m.ElapsedMS), PrefillDone: m.PrefillDone,
		})
	}
	return requests
}

package peer

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// MaxTime bounds the times and ages in messages. The largest time limit of a profile is a year.
const MaxTime = 366 * 24 * time.Hour

// MaxDemand bounds the short prompts per second that arrive for a service at a group of instances.
const MaxDemand = 1e6

// Milliseconds converts a time or age of a message. Its result is within MaxTime, because a product beyond the range of a duration
// could be any time, also a plausible one.
func Milliseconds(ms int64) time.Duration {
	return time.Duration(min(max(ms, -MaxTime.Milliseconds()), MaxTime.Milliseconds())) * time.Millisecond
}

// Invalid describes the fields of a message that are out of their range.
type Invalid struct {
	// Count is the number of fields, and First and Value are the first of them.
	Count int
	First string
	Value string
}

func (i *Invalid) add(field string, value any) {
	if i.Count == 0 {
		i.First, i.Value = field, fmt.Sprint(value)
	}
	i.Count++
}

// RemoveInvalid removes what is out of its range from a message. The rest of the message holds: without it, the instances would lose
// contact with the sender.
func (m *LoadShare) RemoveInvalid() Invalid {
	var invalid Invalid
	if m.AgeMS < -1 || m.AgeMS > MaxTime.Milliseconds() {
		invalid.add("age", m.AgeMS)
		m.AgeMS = -1
	}
	if c := m.Extension.Confirmed; c != nil && (c.AgeMS < 0 || c.AgeMS > MaxTime.Milliseconds()) {
		invalid.add("age of a confirmation", c.AgeMS)
		m.Extension.Confirmed = nil
	}
	m.Limits = slices.DeleteFunc(m.Limits, func(l EndpointLimit) bool {
		before := invalid.Count
		invalid.inRange("age of a request rate", l.AgeMS, 0, MaxTime.Milliseconds())
		return invalid.Count > before
	})
	for i := range m.Parts {
		for j := range m.Parts[i].Crashes {
			crash := &m.Parts[i].Crashes[j]
			before := invalid.Count
			invalid.inRange("age of a crash", crash.AgeMS, 0, MaxTime.Milliseconds())
			if invalid.Count > before {
				// The crash stays in the list, because the calls at the crashes are listed in their order. None is older than this.
				crash.AgeMS = MaxTime.Milliseconds()
			}
		}
	}
	m.Demand = slices.DeleteFunc(m.Demand, func(d ServiceDemand) bool {
		if d.PerSecond >= 0 && d.PerSecond <= MaxDemand {
			return false
		}
		invalid.add("demand", d.PerSecond)
		return true
	})
	return invalid
}

// Rejections decides which rejected values are logged: the first one of each sender and field in rejectionInterval.
type Rejections struct {
	mu     sync.Mutex
	logged map[string]time.Time
}

const (
	rejectionInterval = time.Minute
	// maxRejections bounds the senders and fields that are told apart, because names in messages may be any.
	maxRejections = 64
)

// IsFirst reports whether a rejected value is to be logged.
func (r *Rejections) IsFirst(sender, field string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := sender + " " + field
	if at, found := r.logged[key]; found && now.Sub(at) < rejectionInterval {
		return false
	}
	for known, at := range r.logged {
		if now.Sub(at) >= rejectionInterval {
			delete(r.logged, known)
		}
	}
	if len(r.logged) >= maxRejections {
		return false
	}
	if r.logged == nil {
		r.logged = make(map[string]time.Time)
	}
	r.logged[key] = now
	return true
}

// The bounds of messages about placements.
const (
	// MaxTokens bounds the tokens of a prompt, its output or a reservation.
	MaxTokens = 1 << 48
	// maxHelpers bounds the helpers of a prompt and its reservations. An engine accepts 16.
	maxHelpers = 64
	// maxWorkTime bounds the time for which an engine is busy with a part of a prompt.
	maxWorkTime = 24 * time.Hour
	// maxRetryAfter bounds the advised delay of a refusal.
	maxRetryAfter = time.Hour
	// maxReasonBytes bounds the reason of a refusal, which callers get.
	maxReasonBytes = 64
	maxCandidates  = 1 << 20
	// maxRank is the lowest rank of a request.
	maxRank = 9
	// MaxHold bounds how long the reply to a place request may be deferred.
	MaxHold = time.Second
	// maxAddressBytes bounds the address of an instance in a message.
	maxAddressBytes = 64
)

// inRange checks a number.
func (i *Invalid) inRange(field string, value, least, most int64) {
	if value < least || value > most {
		i.add(field, value)
	}
}

func (i *Invalid) reservations(list []PlaceReservation) {
	i.inRange("reservations", int64(len(list)), 0, maxHelpers)
	for _, r := range list {
		i.inRange("reserved tokens", r.Tokens, 0, MaxTokens)
	}
}

// Invalid returns which fields are out of their range.
func (m *PlaceRequest) Invalid() Invalid {
	var i Invalid
	i.inRange("tokens", m.Tokens, 0, MaxTokens)
	i.inRange("output", m.Output, 0, MaxTokens)
	i.inRange("objective", m.ObjectiveMS, 0, MaxTime.Milliseconds())
	i.inRange("max gap", m.MaxGapMS, 0, MaxTime.Milliseconds())
	// The limit of a request that is about to end may have passed.
	i.inRange("limit", m.LimitMS, -MaxTime.Milliseconds(), MaxTime.Milliseconds())
	x := &m.Extension
	i.inRange("rank", x.Rank, 0, maxRank)
	i.inRange("used time", x.UsedMS, 0, MaxTime.Milliseconds())
	i.inRange("full objective", x.FullObjectiveMS, 0, MaxTime.Milliseconds())
	i.inRange("useful time", x.UsefulMS, 0, MaxTime.Milliseconds())
	i.inRange("hold time", x.HoldMS, 0, MaxHold.Milliseconds())
	i.inRange("failed scheduler", int64(len(x.Failed)), 0, maxAddressBytes)
	return i
}

// Invalid returns which fields are out of their range.
func (m *PlaceReply) Invalid() Invalid {
	var i Invalid
	i.inRange("helpers", int64(len(m.Helpers)), 0, maxHelpers)
	i.reservations(m.Reservations)
	i.inRange("prefill time", m.PartUS, 0, maxWorkTime.Microseconds())
	i.inRange("predicted time", m.PredictedUS, 0, MaxTime.Microseconds())
	i.inRange("retry delay", m.RetryAfterMS, 0, maxRetryAfter.Milliseconds())
	i.inRange("reason", int64(len(m.Reason)), 0, maxReasonBytes)
	i.inRange("candidates", int64(m.Candidates), 0, maxCandidates)
	i.inRange("held time", m.Extension.HeldUS, 0, MaxHold.Microseconds())
	return i
}

// RemoveInvalid removes an observation that is out of its range. The rest of the update holds.
func (m *PlaceUpdate) RemoveInvalid() Invalid {
	var i Invalid
	i.inRange("observed time", m.Extension.FirstUS, 0, MaxTime.Microseconds())
	i.inRange("observed pause", m.Extension.PauseUS, 0, MaxTime.Microseconds())
	if i.Count > 0 {
		m.Extension = PlaceUpdateExtension{}
	}
	return i
}

func (w *PlacedWork) invalid() Invalid {
	var i Invalid
	i.inRange("helpers", int64(len(w.Helpers)), 0, maxHelpers)
	i.reservations(w.Reservations)
	i.inRange("tokens", w.Tokens, 0, 2*MaxTokens)
	i.inRange("prefill time", w.PartUS, 0, maxWorkTime.Microseconds())
	i.inRange("predicted time", w.PredictedUS, 0, MaxTime.Microseconds())
	i.inRange("max gap", w.MaxGapMS, 0, MaxTime.Milliseconds())
	i.inRange("objective", w.ObjectiveMS, 0, MaxTime.Milliseconds())
	i.inRange("limit", w.LimitMS, -MaxTime.Milliseconds(), MaxTime.Milliseconds())
	i.inRange("elapsed time", w.ElapsedMS, 0, MaxTime.Milliseconds())
	return i
}

// RemoveInvalid removes the requests of which a number is out of its range.
func (m *PlaceSync) RemoveInvalid() Invalid {
	var all Invalid
	m.Works = slices.DeleteFunc(m.Works, func(w PlacedWork) bool {
		invalid := w.invalid()
		if invalid.Count > 0 && all.Count == 0 {
			all.First, all.Value = invalid.First, invalid.Value
		}
		all.Count += invalid.Count
		return invalid.Count > 0
	})
	return all
}

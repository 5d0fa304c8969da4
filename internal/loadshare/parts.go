package loadshare

import (
	"slices"
	"time"

	"github.com/acacialift/acacialift/internal/peer"
	"github.com/acacialift/acacialift/internal/quarantine"
)

const (
	// allPartsInterval is the time between two messages with all evidence about parts of prompts, which replace what was lost on
	// the way. An instance that starts, or whose contact was lost, gets all evidence at once.
	allPartsInterval = 30 * time.Second
	// maxPartsSent bounds the parts in a message.
	maxPartsSent = 128
)

// A message holds as many calls of a crash as the evidence. The compiler rejects different numbers, with which instances would compare
// different calls and disagree about a quarantine.
var _ [quarantine.MaxCalls]struct{} = [peer.CallsPerCrash]struct{}{}

// hasNewParts reports whether there is evidence that was not sent yet.
func (s *Sharer) hasNewParts() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.options.Quarantine.Changes() != s.sentParts
}

// partsIfDue returns the evidence that has changed since the last call. With the periodic lists it returns what has changed since
// the previous lists, because a message may have been lost, and once per allPartsInterval everything. An instance passes on what
// it has received too, because merging the same evidence again changes nothing. It must be called with the mutex held.
func (s *Sharer) partsIfDue(listsDue bool, now time.Time) []quarantine.Evidence {
	changes := s.options.Quarantine.Changes()
	after := s.sentParts
	s.sentParts = changes
	if listsDue {
		after = s.listedParts
		s.listedParts = changes
	}
	if now.Sub(s.allPartsSentAt) >= allPartsInterval {
		s.allPartsSentAt = now
		after = 0
	}
	return s.partsSince(after, now)
}

// partsSince returns the evidence that has changed after a value of quarantine.Tracker.Changes, as far as it fits into a
// message.
func (s *Sharer) partsSince(after uint64, now time.Time) []quarantine.Evidence {
	return s.options.Quarantine.Evidence(after, maxPartsSent, now)
}

// addParts adds evidence to a message.
func addParts(m *peer.LoadShare, list []quarantine.Evidence) {
	m.Parts = encodeParts(list)
	m.Extension.PartCalls = encodeCalls(list)
}

// mergeParts applies the evidence of a message.
func (s *Sharer) mergeParts(m *peer.LoadShare, now time.Time) {
	if len(m.Parts) == 0 {
		return
	}
	for _, c := range s.options.Quarantine.Merge(decodeParts(m), now) {
		c.Log(s.options.Log.Warn().Str("peer", m.Address), s.endpointID)
	}
}

func encodeParts(list []quarantine.Evidence) []peer.PartEvidence {
	parts := make([]peer.PartEvidence, 0, len(list))
	for _, e := range list {
		encoded := peer.PartEvidence{Part: uint64(e.Part), Position: e.Position, Served: e.Served}
		for _, c := range e.Crashes {
			encoded.Crashes = append(encoded.Crashes, peer.PartCrash{
				Endpoint: c.Endpoint, Responding: c.Responding, Refuted: c.Refuted, AgeMS: c.Age.Milliseconds(),
			})
		}
		parts = append(parts, encoded)
	}
	return parts
}

// encodeCalls returns the calls at the crashes for LoadShareExtension.PartCalls.
func encodeCalls(list []quarantine.Evidence) []uint32 {
	var calls []uint32
	for _, e := range list {
		for _, c := range e.Crashes {
			var fixed [peer.CallsPerCrash]uint32
			copy(fixed[:], c.Calls)
			calls = append(calls, fixed[:]...)
		}
	}
	return calls
}

// takeCalls removes the calls of one crash from those of a message. A sender of an earlier version states none.
func takeCalls(calls *[]uint32) []uint32 {
	if len(*calls) < peer.CallsPerCrash {
		return nil
	}
	first := (*calls)[:peer.CallsPerCrash]
	*calls = (*calls)[peer.CallsPerCrash:]
	return slices.DeleteFunc(slices.Clone(first), func(call uint32) bool { return call == 0 })
}

func decodeParts(m *peer.LoadShare) []quarantine.Evidence {
	list := make([]quarantine.Evidence, 0, len(m.Parts))
	calls := m.Extension.PartCalls
	for _, p := range m.Parts {
		e := quarantine.Evidence{Part: quarantine.Part(p.Part), Position: p.Position, Served: p.Served}
		for _, c := range p.Crashes {
			e.Crashes = append(e.Crashes, quarantine.Crash{
				Endpoint: c.Endpoint, Responding: c.Responding, Refuted: c.Refuted, Age: peer.Milliseconds(c.AgeMS),
				Calls: takeCalls(&calls),
			})
		}
		list = append(list, e)
	}
	return list
}

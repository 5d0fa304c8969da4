package loadshare

import (
	"time"

	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/peer"
)

func (s *Sharer) localCounts(now time.Time) load.Counts {
	local := s.options.Load.Local(now)
	s.addSuspects(local.Entries, now)
	return local
}

// addSuspects marks the endpoints that this instance suspects.
func (s *Sharer) addSuspects(entries map[uint32]load.Entry, now time.Time) {
	for _, endpoint := range s.options.Health.Suspects(now) {
		e := entries[endpoint]
		e.Endpoint, e.Suspect = endpoint, true
		entries[endpoint] = e
	}
}

func loadsOf(entries map[uint32]load.Entry) peer.EndpointLoads {
	loads := make(peer.EndpointLoads, 0, len(entries))
	for _, e := range entries {
		loads = append(loads, peer.EndpointLoad{
			Endpoint: e.Endpoint, Streams: e.Streams, UsedTokens: e.UsedTokens,
			PrefillBacklogMS: e.PrefillBacklog.Milliseconds(), PrefillDueInMS: e.PrefillDueIn.Milliseconds(),
			MaxGapMS: e.MaxGap.Milliseconds(),
			Suspect:  e.Suspect,
		})
	}
	return loads
}

func demandOf(demand map[uint32]float64) []peer.ServiceDemand {
	list := make([]peer.ServiceDemand, 0, len(demand))
	for service, perSecond := range demand {
		list = append(list, peer.ServiceDemand{Service: service, PerSecond: float32(min(perSecond, peer.MaxDemand))})
	}
	return list
}

func countsOf(m *peer.LoadShare) load.Counts {
	counts := load.Counts{
		Entries: make(map[uint32]load.Entry, len(m.Loads)), Demand: make(map[uint32]float64, len(m.Demand)),
	}
	for _, l := range m.Loads {
		counts.Entries[l.Endpoint] = load.Entry{
			Endpoint: l.Endpoint, Streams: l.Streams, UsedTokens: l.UsedTokens,
			PrefillBacklog: peer.Milliseconds(l.PrefillBacklogMS),
			PrefillDueIn:   peer.Milliseconds(l.PrefillDueInMS),
			MaxGap:         peer.Milliseconds(l.MaxGapMS),
			Suspect:        l.Suspect,
		}
	}
	for _, d := range m.Demand {
		counts.Demand[d.Service] = float64(d.PerSecond)
	}
	return counts
}

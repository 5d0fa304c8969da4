package loadshare

import (
	"time"

	"github.com/acacialift/acacialift/internal/load"
	"github.com/acacialift/acacialift/internal/peer"
)

func (s *Sharer) ownLoads(now time.Time) []peer.EndpointLoad {
	own := s.options.Book.Own(now)
	s.addSuspects(own, now)
	return loadsOf(own)
}

// addSuspects marks the endpoints that this instance avoids.
func (s *Sharer) addSuspects(entries map[uint64]load.Entry, now time.Time) {
	for _, endpoint := range s.options.Health.Suspected(now) {
		e := entries[endpoint]
		e.Endpoint, e.Suspect = endpoint, true
		entries[endpoint] = e
	}
}

func loadsOf(entries map[uint64]load.Entry) []peer.EndpointLoad {
	loads := make([]peer.EndpointLoad, 0, len(entries))
	for _, e := range entries {
		loads = append(loads, peer.EndpointLoad{
			Endpoint: e.Endpoint, Streams: e.Streams, Context: e.Context,
			UnreadMS: e.Unread.Milliseconds(), DueMS: e.Due.Milliseconds(), PauseMS: e.Pause.Milliseconds(),
			Suspect: e.Suspect,
		})
	}
	return loads
}

func entriesOf(loads []peer.EndpointLoad) []load.Entry {
	entries := make([]load.Entry, 0, len(loads))
	for _, l := range loads {
		entries = append(entries, load.Entry{
			Endpoint: l.Endpoint, Streams: l.Streams, Context: l.Context,
			Unread:  time.Duration(l.UnreadMS) * time.Millisecond,
			Due:     time.Duration(l.DueMS) * time.Millisecond,
			Pause:   time.Duration(l.PauseMS) * time.Millisecond,
			Suspect: l.Suspect,
		})
	}
	return entries
}

package loadshare

import (
	"fmt"
	"time"

	"github.com/acacialift/acacialift/internal/limit"
	"github.com/acacialift/acacialift/internal/peer"
)

// addLimits adds the endpoints' request rates to a message if the lists are due. The message contains what the instances
// whose work it counts have observed, so that statements do not circulate and become younger with each delay on the way.
func (s *Sharer) addLimits(message *peer.LoadShare, lists periodicLists, now time.Time) {
	if !lists.due || s.options.Rates == nil {
		return
	}
	origin := limit.OriginSelf
	switch message.Scope {
	case peer.ScopeGroup:
		origin = limit.OriginMember
	case peer.ScopeTotals:
		origin = limit.OriginFleet
	}
	for _, st := range s.options.Rates.Statements(origin, now) {
		message.Limits = append(message.Limits, peer.EndpointLimit{
			Endpoint: st.Endpoint, PerSecond: st.PerSecond, None: st.None, AgeMS: st.Age.Milliseconds(),
		})
	}
}

// mergeLimits applies the endpoints' request rates of a message.
func (s *Sharer) mergeLimits(m *peer.LoadShare, now time.Time) {
	if s.options.Rates == nil {
		return
	}
	origin := limit.OriginMember
	if m.Scope == peer.ScopeGroup || m.Scope == peer.ScopeTotals {
		origin = limit.OriginFleet
	}
	for _, l := range m.Limits {
		if !l.None && !limit.IsValidRate(l.PerSecond) {
			s.logInvalid(m.Address, peer.Invalid{Count: 1, First: "request rate", Value: fmt.Sprint(l.PerSecond)})
			continue
		}
		st := limit.Statement{
			Endpoint: l.Endpoint, PerSecond: l.PerSecond, None: l.None, Age: peer.Milliseconds(l.AgeMS),
		}
		if s.options.Rates.Merge(st, origin, now) {
			s.logLimit(m.Address, st)
		}
	}
}

func (s *Sharer) logLimit(sender string, st limit.Statement) {
	line := s.options.Log.Info().Str("peer", sender).Dur("age_ms", st.Age).Str("endpoint", s.endpointID(st.Endpoint))
	if st.None {
		line.Msg("endpoint_limit_ended")
		return
	}
	line.Float64("max_rate", st.PerSecond).Msg("endpoint_limited")
}

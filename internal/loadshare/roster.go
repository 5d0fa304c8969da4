package loadshare

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxDirect is the number of other instances up to which all tell each other directly. Above it, hubs add up the
	// counts of their members, so that the number of messages grows with the fleet and not with its square.
	maxDirect = 12
	// minHubs and membersPerHub give the number of hubs.
	minHubs       = 3
	membersPerHub = 16
	// silentAfter is the time without a message after which an instance counts as lost.
	silentAfter = 2500 * time.Millisecond
	// hubSilence is the time without an answer after which a hub is passed over, for passOver.
	hubSilence = 700 * time.Millisecond
	passOver   = 3 * time.Second
	// reconnectEvery is the pause between the connections tried to a silent instance.
	reconnectEvery = time.Second
	// forgetAfter is the time without a sign of life after which an instance is forgotten unless it is a seed.
	forgetAfter = 10 * time.Second
)

// member is another instance.
type member struct {
	seed bool
	// met is the last message of its own. vouched is the last message of an instance that had met it, and told the last
	// one of a hub that knows it from others; only the former is passed on, so that instances do not keep each other's
	// memory of a dead one alive.
	met, vouched, told time.Time
	// asked is when this instance began to wait for an answer of the member as a hub; zero if it does not wait.
	asked time.Time
	// tried is the last attempt to reach a silent member.
	tried time.Time
	// passedOverUntil keeps the member from being chosen as a hub.
	passedOverUntil time.Time
	lost            bool
}

// roster holds the other instances by their peers' address. It does no I/O.
type roster struct {
	self string
	// selfSeed is true if the own address is a seed.
	selfSeed bool
	members  map[string]*member
}

func newRoster(self string) *roster { return &roster{self: self, members: make(map[string]*member)} }

// addSeed adds an instance that may be up.
func (r *roster) addSeed(address string) {
	if address == r.self {
		r.selfSeed = true
		return
	}
	r.member(address).seed = true
}

// isLive reports whether there was a recent sign of life.
func (m *member) isLive(now time.Time) bool {
	return isRecent(m.met, now) || isRecent(m.vouched, now) || isRecent(m.told, now)
}

func isRecent(at, now time.Time) bool { return !at.IsZero() && now.Sub(at) <= silentAfter }

// lastSign returns the time of the last sign of life.
func (m *member) lastSign() time.Time {
	last := m.met
	for _, at := range []time.Time{m.vouched, m.told} {
		if at.After(last) {
			last = at
		}
	}
	return last
}

func (r *roster) member(address string) *member {
	m := r.members[address]
	if m == nil {
		m = &member{}
		r.members[address] = m
	}
	return m
}

// isDirect reports whether all instances tell each other directly.
func (r *roster) isDirect(now time.Time) bool { return len(r.live(now)) <= maxDirect }

// live returns the addresses of the instances with a recent sign of life, in order.
func (r *roster) live(now time.Time) []string {
	var live []string
	for address, m := range r.members {
		if m.isLive(now) {
			live = append(live, address)
		}
	}
	slices.Sort(live)
	return live
}

// known returns the addresses of the instances that this one has met lately, and those that others have met.
func (r *roster) known(now time.Time) (met, vouched []string) {
	for address, m := range r.members {
		switch {
		case isRecent(m.met, now):
			met = append(met, address)
		case isRecent(m.vouched, now):
			vouched = append(vouched, address)
		}
	}
	return met, vouched
}

// hubs returns the instances that add up the counts: seeds first, because all instances know them, then others in an
// order that all compute alike. The own address may be among them.
func (r *roster) hubs(now time.Time) []string {
	live := r.live(now)
	candidates := append(live, r.self)
	slices.SortFunc(candidates, func(a, b string) int {
		if r.rank(a) != r.rank(b) {
			return r.rank(a) - r.rank(b)
		}
		if ha, hb := xxhash.Sum64String(a), xxhash.Sum64String(b); ha != hb {
			if ha < hb {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	candidates = slices.DeleteFunc(candidates, func(address string) bool {
		m := r.members[address]
		return m != nil && now.Before(m.passedOverUntil)
	})
	count := max(minHubs, (len(live)+membersPerHub)/membersPerHub)
	return candidates[:min(count, len(candidates))]
}

func (r *roster) rank(address string) int {
	if m := r.members[address]; m != nil && m.seed || address == r.self && r.selfSeed {
		return 0
	}
	return 1
}

// ownHub returns the hub that adds up the counts of this instance.
func (r *roster) ownHub(now time.Time) string {
	hubs := slices.DeleteFunc(r.hubs(now), func(address string) bool { return address == r.self })
	if len(hubs) == 0 {
		return ""
	}
	return hubs[xxhash.Sum64String(r.self)%uint64(len(hubs))]
}

// noteAsked notes a question to a hub, and passes it over if it has left one unanswered for long.
func (r *roster) noteAsked(address string, now time.Time) {
	m := r.member(address)
	switch {
	case m.asked.IsZero():
		m.asked = now
	case now.Sub(m.asked) > hubSilence:
		m.asked = time.Time{}
		m.passedOverUntil = now.Add(passOver)
	}
}

// noteMet notes a message of an instance itself. It reports whether the instance was lost or unknown before.
func (r *roster) noteMet(address string, now time.Time) bool {
	m := r.member(address)
	back := m.lost || m.met.IsZero()
	m.met, m.lost, m.asked = now, false, time.Time{}
	return back
}

// noteVouched notes instances that the sender of a message has met.
func (r *roster) noteVouched(addresses []string, now time.Time) {
	for _, address := range addresses {
		if address != r.self {
			r.member(address).vouched = now
		}
	}
}

// noteTold notes instances that a hub knows.
func (r *roster) noteTold(addresses []string, now time.Time) {
	for _, address := range addresses {
		if address != r.self {
			r.member(address).told = now
		}
	}
}

// forgetSilent removes instances without a sign of life, and returns them.
func (r *roster) forgetSilent(now time.Time) []string {
	var forgotten []string
	for address, m := range r.members {
		if !m.seed && now.Sub(m.lastSign()) > forgetAfter {
			delete(r.members, address)
			forgotten = append(forgotten, address)
		}
	}
	return forgotten
}

// newlyLost returns the instances that were met and have fallen silent since the last call. Instances that are heard of
// through hubs only are left out.
func (r *roster) newlyLost(now time.Time) []string {
	var lost []string
	for address, m := range r.members {
		if !m.lost && !m.met.IsZero() && !m.isLive(now) {
			m.lost = true
			lost = append(lost, address)
		}
	}
	return lost
}

// silentSeeds returns the seeds without a sign of life for which a new attempt is due. A part of the fleet that has
// formed without them finds the others through them again.
func (r *roster) silentSeeds(now time.Time) []string {
	var due []string
	for address, m := range r.members {
		if m.seed && !m.isLive(now) && now.Sub(m.tried) >= reconnectEvery {
			m.tried = now
			due = append(due, address)
		}
	}
	return due
}

// reachable returns the instances to tell directly: the live ones, and now and then silent ones, for which a new
// connection is due.
func (r *roster) reachable(now time.Time) (live, retried []string) {
	for address, m := range r.members {
		switch {
		case m.isLive(now):
			live = append(live, address)
		case now.Sub(m.tried) >= reconnectEvery:
			m.tried = now
			retried = append(retried, address)
		}
	}
	return live, retried
}

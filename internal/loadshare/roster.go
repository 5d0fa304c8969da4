package loadshare

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acacialift/acacialift/internal/peer"
)

const (
	// maxDirect is the number of other instances up to which all tell each other directly. Above it, hubs add up the
	// counts of their members, so that the number of messages grows with the fleet and not with its square.
	maxDirect = 12
	// minHubs and membersPerHub give the number of hubs.
	minHubs       = 3
	membersPerHub = 24
	// silentAfter is the time without a message after which an instance counts as lost.
	silentAfter = 2500 * time.Millisecond
	// hubSilence is the time without an answer after which a hub is passed over, for passOver.
	hubSilence = 1500 * time.Millisecond
	passOver   = 3 * time.Second
	// reconnectEvery is the pause between the connections tried to a silent instance.
	reconnectEvery = time.Second
	// forgetAfter is the time without a sign of life after which an instance is forgotten unless it is a seed.
	forgetAfter = 10 * time.Second
)

// member is another instance.
type member struct {
	seed bool
	// capacity is in hundredths of a core; zero if it is not known.
	capacity uint8
	// hash orders members alike at all instances.
	hash uint64
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
	self     string
	capacity uint8
	// largest is the size of the largest fleet that this instance or another one has known.
	largest int
	// schedulers caches the results of scheduler.
	schedulers map[uint64]chosen
	// selfSeed is true if the own address is a seed.
	selfSeed bool
	members  map[string]*member
}

// chosen is a scheduler that was chosen at a time.
type chosen struct {
	address string
	at      time.Time
}

func newRoster(self string, capacity uint8) *roster {
	return &roster{
		self: self, capacity: capacity, members: make(map[string]*member), schedulers: make(map[uint64]chosen),
	}
}

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
		m = &member{hash: xxhash.Sum64String(address)}
		r.members[address] = m
	}
	return m
}

// isDirect reports whether all instances tell each other directly.
func (r *roster) isDirect(now time.Time) bool { return r.countLive(now) <= maxDirect }

// countLive returns the number of instances with a recent sign of life.
func (r *roster) countLive(now time.Time) int {
	count := 0
	for _, m := range r.members {
		if m.isLive(now) {
			count++
		}
	}
	return count
}

// known returns the addresses of the instances that this one has met lately, and those that others have met.
func (r *roster) known(now time.Time) (met, vouched []peer.Member) {
	for address, m := range r.members {
		told := peer.Member{Address: address, Capacity: m.capacity}
		switch {
		case isRecent(m.met, now):
			met = append(met, told)
		case isRecent(m.vouched, now):
			vouched = append(vouched, told)
		}
	}
	return met, vouched
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
func (r *roster) noteMet(who peer.Member, now time.Time) bool {
	m := r.member(who.Address)
	m.capacity = who.Capacity
	back := m.lost || m.met.IsZero()
	m.met, m.lost, m.asked = now, false, time.Time{}
	return back
}

// noteCapacity takes over a capacity that another instance knows.
func (m *member) noteCapacity(capacity uint8) {
	if capacity > 0 {
		m.capacity = capacity
	}
}

// noteVouched notes instances that the sender of a message has met.
func (r *roster) noteVouched(known []peer.Member, now time.Time) {
	for _, k := range known {
		if k.Address == r.self {
			continue
		}
		m := r.member(k.Address)
		m.vouched = now
		m.noteCapacity(k.Capacity)
	}
}

// noteTold notes instances that a hub knows.
func (r *roster) noteTold(known []peer.Member, now time.Time) {
	for _, k := range known {
		if k.Address == r.self {
			continue
		}
		m := r.member(k.Address)
		m.told = now
		m.noteCapacity(k.Capacity)
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

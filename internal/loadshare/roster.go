package loadshare

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acacialift/acacialift/internal/peer"
)

const (
	// maxDirectPeers is the number of other live instances up to which every instance sends to all others. In larger
	// fleets aggregators sum up the counts of their members, because the number of messages would otherwise grow with
	// the square of the fleet's size.
	maxDirectPeers = 12
	// minAggregators and membersPerAggregator determine the number of aggregators.
	minAggregators       = 3
	membersPerAggregator = 24
	// contactTimeout is the time without a message after which an instance is considered unresponsive.
	contactTimeout = 2500 * time.Millisecond
	// aggregatorTimeout is the time without a reply after which an aggregator is skipped for aggregatorSkipTime.
	aggregatorTimeout  = 1500 * time.Millisecond
	aggregatorSkipTime = 3 * time.Second
	// reconnectInterval is the time between two connection attempts to an unresponsive instance.
	reconnectInterval = time.Second
	// removeAfter is the time without contact after which an instance is removed unless it is a seed.
	removeAfter = 10 * time.Second
)

// member is another instance.
type member struct {
	seed bool
	// capacity is in hundredths of a core; zero if it is not known.
	capacity uint8
	// hash gives members the same order at all instances.
	hash uint64
	// directContact is the time of the last message from the instance itself, indirectContact that of the last
	// message from an instance in direct contact with it, and aggregatorContact that of the last list of an
	// aggregator with the instance in it. Instances with aggregatorContact only are not reported to others, because
	// otherwise instances would keep reporting a failed instance to each other.
	directContact, indirectContact, aggregatorContact time.Time
	// awaitingSince is the time at which this instance began to wait for a reply of the member as its aggregator;
	// zero if it does not wait.
	awaitingSince time.Time
	// lastAttempt is the time of the last attempt to reach an unresponsive member.
	lastAttempt time.Time
	// skippedUntil keeps the member from being chosen as an aggregator.
	skippedUntil time.Time
	unresponsive bool
}

// roster holds the other instances by their peer address. It does no I/O.
type roster struct {
	self     string
	capacity uint8
	// largestFleet is the largest number of instances ever known to this instance or to a peer that has reported it.
	largestFleet int
	// schedulers caches the results of scheduler.
	schedulers map[uint64]schedulerChoice
	// selfIsSeed is true if the local address is a seed.
	selfIsSeed bool
	members    map[string]*member
}

// schedulerChoice is the scheduler chosen for a key, with the time of the choice.
type schedulerChoice struct {
	address  string
	chosenAt time.Time
}

func newRoster(self string, capacity uint8) *roster {
	return &roster{
		self: self, capacity: capacity, members: make(map[string]*member), schedulers: make(map[uint64]schedulerChoice),
	}
}

// addSeed adds the address of an instance that may be up.
func (r *roster) addSeed(address string) {
	if address == r.self {
		r.selfIsSeed = true
		return
	}
	r.member(address).seed = true
}

// isLive reports whether there was direct or indirect contact within contactTimeout.
func (m *member) isLive(now time.Time) bool {
	return isRecent(m.directContact, now) || isRecent(m.indirectContact, now) || isRecent(m.aggregatorContact, now)
}

func isRecent(at, now time.Time) bool { return !at.IsZero() && now.Sub(at) <= contactTimeout }

// lastContact returns the time of the last direct or indirect contact.
func (m *member) lastContact() time.Time {
	last := m.directContact
	for _, at := range []time.Time{m.indirectContact, m.aggregatorContact} {
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

// isFullMesh reports whether the fleet is small enough for all instances to send to each other.
func (r *roster) isFullMesh(now time.Time) bool { return r.countLive(now) <= maxDirectPeers }

// countLive returns the number of live instances, without this one.
func (r *roster) countLive(now time.Time) int {
	count := 0
	for _, m := range r.members {
		if m.isLive(now) {
			count++
		}
	}
	return count
}

// liveMembers returns the instances in direct contact, and those in indirect contact only.
func (r *roster) liveMembers(now time.Time) (direct, indirect []peer.Member) {
	for address, m := range r.members {
		entry := peer.Member{Address: address, Capacity: m.capacity}
		switch {
		case isRecent(m.directContact, now):
			direct = append(direct, entry)
		case isRecent(m.indirectContact, now):
			indirect = append(indirect, entry)
		}
	}
	return direct, indirect
}

// awaitAggregator records a message to an aggregator, and skips the aggregator if it has not replied within
// aggregatorTimeout.
func (r *roster) awaitAggregator(address string, now time.Time) {
	m := r.member(address)
	switch {
	case m.awaitingSince.IsZero():
		m.awaitingSince = now
	case now.Sub(m.awaitingSince) > aggregatorTimeout:
		m.awaitingSince = time.Time{}
		m.skippedUntil = now.Add(aggregatorSkipTime)
	}
}

// recordDirect records a message from the instance itself. It returns true if the instance was
// unresponsive, or no message from it had arrived before.
func (r *roster) recordDirect(sender peer.Member, now time.Time) bool {
	m := r.member(sender.Address)
	m.capacity = sender.Capacity
	isNewlyLive := m.unresponsive || m.directContact.IsZero()
	m.directContact, m.unresponsive, m.awaitingSince = now, false, time.Time{}
	return isNewlyLive
}

// setCapacity stores a capacity that another instance reported, if that instance knew it.
func (m *member) setCapacity(capacity uint8) {
	if capacity > 0 {
		m.capacity = capacity
	}
}

// recordIndirect records instances with which the sender of a message is in direct contact.
func (r *roster) recordIndirect(reported []peer.Member, now time.Time) {
	for _, k := range reported {
		if k.Address == r.self {
			continue
		}
		m := r.member(k.Address)
		m.indirectContact = now
		m.setCapacity(k.Capacity)
	}
}

// recordAggregated records instances that an aggregator reported.
func (r *roster) recordAggregated(reported []peer.Member, now time.Time) {
	for _, k := range reported {
		if k.Address == r.self {
			continue
		}
		m := r.member(k.Address)
		m.aggregatorContact = now
		m.setCapacity(k.Capacity)
	}
}

// removeUnresponsive removes instances without contact for removeAfter, and returns their addresses.
func (r *roster) removeUnresponsive(now time.Time) []string {
	var removed []string
	for address, m := range r.members {
		if !m.seed && now.Sub(m.lastContact()) > removeAfter {
			delete(r.members, address)
			removed = append(removed, address)
		}
	}
	return removed
}

// newlyUnresponsive returns the instances that have been in direct contact and have become unresponsive since the last call.
// Instances known only indirectly are left out.
func (r *roster) newlyUnresponsive(now time.Time) []string {
	var unresponsive []string
	for address, m := range r.members {
		if !m.unresponsive && !m.directContact.IsZero() && !m.isLive(now) {
			m.unresponsive = true
			unresponsive = append(unresponsive, address)
		}
	}
	return unresponsive
}

// seedsToRetry returns the unresponsive seeds for which a new attempt is due. The seeds connect parts of the fleet
// that formed while the seeds were down.
func (r *roster) seedsToRetry(now time.Time) []string {
	var due []string
	for address, m := range r.members {
		if m.seed && !m.isLive(now) && now.Sub(m.lastAttempt) >= reconnectInterval {
			m.lastAttempt = now
			due = append(due, address)
		}
	}
	return due
}

// sendTargets returns the instances to which a full mesh sends: the live ones, and unresponsive ones for which a new
// connection is due.
func (r *roster) sendTargets(now time.Time) (live, retry []string) {
	for address, m := range r.members {
		switch {
		case m.isLive(now):
			live = append(live, address)
		case now.Sub(m.lastAttempt) >= reconnectInterval:
			m.lastAttempt = now
			retry = append(retry, address)
		}
	}
	return live, retry
}

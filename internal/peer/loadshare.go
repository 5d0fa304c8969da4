package peer

// ShareScope states whose work a LoadShare counts.
type ShareScope uint8

// The scopes of a LoadShare.
const (
	// ScopeOwn counts the sender's own work.
	ScopeOwn ShareScope = iota
	// ScopeMember counts the sender's own work and asks the receiver, a hub, for the totals.
	ScopeMember
	// ScopeGroup counts the work of a hub and its members.
	ScopeGroup
	// ScopeTotals counts the work of all instances but the receiver.
	ScopeTotals
)

// LoadShare tells another entry instance what has been placed on endpoints.
type LoadShare struct {
	Scope ShareScope
	// Address is the peers' address of the sender.
	Address string
	// Capacity is the sender's, as in Member.
	Capacity uint8
	// Known lists the live instances that the sender knows. It is sent now and then.
	Known []Member
	// Loads lists the endpoints on which something is placed.
	Loads EndpointLoads
	// Demand lists the services for which short prompts have arrived lately.
	Demand []ServiceDemand
	// Stamp is the sender's boot-time in nanoseconds; Echo is the last Stamp that the sender has received from the
	// receiver. A state that the sender confirms in the same message is not older than that moment, less its age.
	Stamp, Echo int64
	// Position is the revision up to which the sender knows what the platform has published.
	Position int64
	// AgeMS is the time since the sender's state was confirmed; it holds in messages with ScopeTotals.
	AgeMS int64
	// Published lists the changes after the receiver's Position.
	Published []PublishedItem
	// LargestFleet is the size of the largest fleet that the sender knows of.
	LargestFleet uint16
}

// SkipsCompression implements Incompressible. Loads hardly shrink, and compressing them in each message takes most of an
// aggregator's processor time.
func (m LoadShare) SkipsCompression() bool { return len(m.Published) == 0 }

// PublishedItem is the latest state of a key that the platform has published.
type PublishedItem struct {
	Key      string
	Value    []byte
	Revision int64
	Removed  bool
}

// ServiceDemand is the number of short prompts that arrive for a service in a second.
type ServiceDemand struct {
	Service   uint32
	PerSecond float32
}

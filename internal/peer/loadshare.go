package peer

// ShareScope states which instances' work a LoadShare counts.
type ShareScope uint8

// The scopes of a LoadShare.
const (
	// ScopeLocal counts the sender's work.
	ScopeLocal ShareScope = iota
	// ScopeMember counts the sender's work and requests the totals from the receiver, an aggregator.
	ScopeMember
	// ScopeGroup counts the work of an aggregator and its members.
	ScopeGroup
	// ScopeTotals counts the work of all instances except the receiver.
	ScopeTotals
)

// LoadShare reports to another entry instance what has been placed on endpoints.
type LoadShare struct {
	Scope ShareScope
	// Address is the peer address of the sender.
	Address string
	// Capacity is the sender's capacity, in the unit of Member.Capacity.
	Capacity uint8
	// LiveMembers lists the live instances that the sender knows. It is empty in most messages.
	LiveMembers []Member
	// Loads lists the endpoints that have a load or are suspect.
	Loads EndpointLoads
	// Demand lists the services for which short prompts have arrived recently.
	Demand []ServiceDemand
	// Stamp is the sender's boot-time in nanoseconds; Echo is the last Stamp that the sender has received from the
	// receiver. A state that the sender reports in the same message was confirmed no earlier than Echo less AgeMS.
	Stamp, Echo int64
	// Position is the revision up to which the sender knows what the platform has published.
	Position int64
	// AgeMS is the time since the sender's state was confirmed; -1 if the message reports no state.
	AgeMS int64
	// Published lists the changes after the receiver's Position.
	Published []PublishedItem
	// LargestFleet is the size of the largest fleet that the sender knows of.
	LargestFleet uint16
	// Limits lists what endpoints have stated about their request rates. It is empty in most messages.
	Limits []EndpointLimit
	// Parts lists evidence about parts of prompts under which endpoints crash. It is empty in most messages.
	Parts []PartEvidence
	// Extension holds the fields that earlier versions do not know.
	Extension LoadShareExtension `msgpack:"-"`
}

// LoadShareExtension is what a LoadShare states beyond its first version: mostly the eras of what the platform has published, because
// revisions of different eras are not comparable.
type LoadShareExtension struct {
	// Era is the era of LoadShare.Position. A sender whose version knows no eras sends no extension, hence 0.
	Era int64 `msgpack:"era,omitempty"`
	// Whole is true if LoadShare.Published is the whole content, and false if it lists the changes after the receiver's position.
	Whole bool `msgpack:"whole,omitempty"`
	// Retained lists what the sender knows from earlier eras and holds to be newer than the current content. It is empty in most
	// messages. RetainedDigest is a hash of all that the sender retains; 0 if that is nothing.
	Retained       []RetainedItem `msgpack:"retained,omitempty"`
	RetainedDigest uint64         `msgpack:"digest,omitempty"`
	// PartCalls lists hashes of the calls at the crashes of LoadShare.Parts, CallsPerCrash for each crash in their order, and zeros
	// where there are fewer.
	PartCalls []uint32 `msgpack:"calls,omitempty"`
	// Unsettled is true if what the sender has read may still lack changes that were published before a restoration.
	Unsettled bool `msgpack:"unsettled,omitempty"`
	// WantsConfirmation is true if the sender's catalog was last confirmed too long ago.
	WantsConfirmation bool `msgpack:"wants,omitempty"`
	// Confirmed is the sender's confirmation of its catalog; nil if no receiver wants it.
	Confirmed *ConfirmedCatalog `msgpack:"confirmed,omitempty"`
	// Echoes lists, in a message to several receivers, what LoadShare.Echo is for one. It lists only those that want a confirmation.
	Echoes []StampEcho `msgpack:"echoes,omitempty"`
}

// ConfirmedCatalog states that no catalog above a version had been published at a time.
type ConfirmedCatalog struct {
	Version int64 `msgpack:"version"`
	// AgeMS is the time since then. The sender has taken it after it had received the stamps that it echoes.
	AgeMS int64 `msgpack:"age"`
	// Era is the era of the platform in which the evidence was found.
	Era int64 `msgpack:"era,omitempty"`
}

// StampEcho is the last LoadShare.Stamp that the sender has received from a receiver.
type StampEcho struct {
	Address string `msgpack:"address"`
	Stamp   int64  `msgpack:"stamp"`
}

// CallsPerCrash is the number of hashes in LoadShareExtension.PartCalls for a crash.
const CallsPerCrash = 2

// RetainedItem is the state of a key in an era that has ended.
type RetainedItem struct {
	Key      string `msgpack:"key"`
	Value    []byte `msgpack:"value,omitempty"`
	Era      int64  `msgpack:"era"`
	Revision int64  `msgpack:"revision"`
	Removed  bool   `msgpack:"removed,omitempty"`
	// Replaced is, in a removal, the revision of the item that was removed.
	Replaced int64 `msgpack:"replaced,omitempty"`
}

// Extended implements Extended.
func (m *LoadShare) Extended() any { return &m.Extension }

// PartEvidence is what is known about a part of prompts. Package quarantine explains the fields.
type PartEvidence struct {
	Part     uint64
	Position uint8
	Served   bool
	Crashes  []PartCrash
}

// PartCrash is the crash of an endpoint at which requests with the part were.
type PartCrash struct {
	Endpoint   uint32
	Responding bool
	Refuted    bool
	AgeMS      int64
}

// EndpointLimit is what an endpoint has stated about its request rate.
type EndpointLimit struct {
	Endpoint uint32
	// PerSecond is the number of requests per second that the endpoint accepts from all instances together. It has no
	// meaning if None is true.
	PerSecond float64
	// None is true if the endpoint stated no rate, after it had stated one before.
	None bool
	// AgeMS is the age of the statement.
	AgeMS int64
}

// SkipsCompression implements Incompressible. Loads hardly shrink, and compressing them in each message would take most
// of an aggregator's processor time.
func (m LoadShare) SkipsCompression() bool { return len(m.Published) == 0 }

// PublishedItem is the latest state of a key that the platform has published.
type PublishedItem struct {
	Key      string
	Value    []byte
	Revision int64
	Removed  bool
}

// ServiceDemand is the number of short prompts that arrive for a service per second.
type ServiceDemand struct {
	Service   uint32
	PerSecond float32
}

// Package peer carries typed messages between the processes of acacialift: msgpack envelopes in length-prefixed frames
// over TCP.
package peer

// Kind identifies the type of an envelope's body.
type Kind uint8

// The message kinds. The numbers are part of the wire format.
const (
	KindHello Kind = iota + 1
	KindError
	KindHeartbeat
	KindDocumentRequest
	KindDocument
	KindClaim
	KindPromise
	KindViewRequest
	KindView
	KindCreditRequest
	KindCreditReply
	KindCreditReport
	KindKeyClaim
	KindKeyReply
	KindKeyEnd
	KindSummary
	KindAck
	KindLoadShare
	KindPlaceRequest
	KindPlaceReply
	KindPlaceUpdate
	KindPlaceSync
	KindPlaceCollect
)

// Role is the kind of the process that opened a connection.
type Role string

// The roles of a process that opens a connection.
const (
	RoleController Role = "controller"
	RoleGateway    Role = "gateway"
	RoleEntry      Role = "entry"
)

// Hello is the first message on each connection.
type Hello struct {
	// Key is the shared secret of the peer port.
	Key string
	// Name is the instance name of the initiator.
	Name string
	// Incarnation is the start time of the initiator in wall-clock milliseconds.
	Incarnation int64
	// Role is the initiator's kind of process.
	Role Role
}

// Error refuses a message or a connection.
type Error struct {
	// Code is a stable identifier such as "wrong_key".
	Code string
	// Message explains the refusal.
	Message string
}

// Ack replies to messages that need no content in the reply.
type Ack struct{}

// MemberState is the state of an instance according to its neighbours, the instances that receive its heartbeats.
type MemberState string

// The states of a member. Package member sets suspect, then dead, after times without a heartbeat. An instance that shuts
// down reports itself as leaving.
const (
	MemberAlive   MemberState = "alive"
	MemberSuspect MemberState = "suspect"
	MemberDead    MemberState = "dead"
	MemberLeaving MemberState = "leaving"
)

// MemberUpdate is the reported state of one instance. The updates are ordered by incarnation, then by sequence.
type MemberUpdate struct {
	Name        string
	Incarnation int64
	Sequence    uint64
	State       MemberState
}

// Heartbeat is sent to each neighbour once a second.
type Heartbeat struct {
	Name         string
	Incarnation  int64
	Sequence     uint64
	State        MemberState
	Revision     uint64
	ListRevision uint64
	// Updates holds at most 16 member updates.
	Updates []MemberUpdate
}

// Subject names one of the two published values.
type Subject string

// The published values.
const (
	SubjectConfig    Subject = "config"
	SubjectInstances Subject = "instances"
)

// DocumentRequest requests a published value if its revision is at least MinRevision.
type DocumentRequest struct {
	Subject     Subject
	MinRevision uint64
}

// Document carries a published value; Revision 0 means that none is known.
type Document struct {
	Subject  Subject
	Revision uint64
	Bytes    []byte
}

// ClaimItem requests a voter's promise of the lease of one resource to the sender.
type ClaimItem struct {
	// Resource is "endpoint/NAME" or "keys/SERVICE/SLOT".
	Resource string
	// VoterSet is the hash of the holder's voter set for the resource.
	VoterSet uint64
	// LabelStart and LabelEnd bound the key labels in wall-clock milliseconds; both are 0 for endpoints.
	LabelStart int64
	LabelEnd   int64
	// Release releases the lease instead of claiming it.
	Release bool
}

// Claim requests promises from a voter.
type Claim struct {
	Holder      string
	Incarnation int64
	// Sequence increases with each claim of an incarnation. A voter ignores a release in a claim that is
	// older than the last one that it has granted.
	Sequence uint64
	// Revision is the holder's configuration revision.
	Revision uint64
	Items    []ClaimItem
}

// PromiseItem is the reply to one ClaimItem.
type PromiseItem struct {
	Resource string
	Granted  bool
	// Reason is set on a refusal, such as "held", "silent", "voter_set", "revision" or "label"; package lease has the
	// list.
	Reason string
	// LabelEnd is set on a grant of a key slot: the highest label end that the voter may have promised to any other
	// holder.
	LabelEnd int64
}

// Promise is the reply to a Claim.
type Promise struct {
	// Sequence is that of the claim.
	Sequence uint64
	// Revision is the voter's configuration revision.
	Revision uint64
	Items    []PromiseItem
}

// ViewRequest is sent by a gateway to the controller of its instance. The controller replies when its view is newer than
// Version.
type ViewRequest struct {
	Version uint64
	// Revision is the configuration revision that the gateway has; the document is sent only if it differs.
	Revision uint64
	// Incarnation is the gateway's start time in wall-clock milliseconds.
	Incarnation int64
	Stats       GatewayStats
}

// GatewayStats holds the counts of a gateway since its start, for the operators' API.
type GatewayStats struct {
	Requests int64
	// Open is the number of requests in progress.
	Open int64
	// Answers counts the final responses that the gateway created itself, by outcome, stage and code.
	Answers []AnswerCount
	// FirstToken is the time to first token by length class.
	FirstToken []ClassLatency
	// PeerBytesIn, PeerBytesOut and PeerMessages count the gateway's traffic with controllers.
	PeerBytesIn  int64
	PeerBytesOut int64
	PeerMessages int64
}

// AnswerCount counts final responses with the same outcome, stage and code.
type AnswerCount struct {
	Outcome string
	Stage   string
	Code    string
	Count   int64
}

// ClassLatency summarizes recent latencies of one length class.
type ClassLatency struct {
	Class LengthClass
	Count int64
	P50MS float64
	P95MS float64
	P99MS float64
}

// OwnerView names the current owner of an endpoint or key slot.
type OwnerView struct {
	Resource string
	Instance string
	Address  string
}

// EndpointState is the state of an endpoint according to its owner.
type EndpointState string

// The states of an endpoint.
const (
	EndpointCold    EndpointState = "cold"
	EndpointWarming EndpointState = "warming"
	EndpointWarm    EndpointState = "warm"
	EndpointUnknown EndpointState = "unknown"
	EndpointLeaving EndpointState = "leaving"
)

// EndpointSummary is the load of one endpoint according to its owner.
type EndpointSummary struct {
	Endpoint string
	Owner    string
	State    EndpointState
	// FreeTokens is the KV memory that the owner can still grant.
	FreeTokens int64
	// FreeStreams is the number of streams that the owner can still grant.
	FreeStreams int
	// QueuedTokens is the number of granted prompt tokens whose prefill has not ended.
	QueuedTokens int64
	// LongPrefills is the number of long prompts in prefill.
	LongPrefills int
	// AgeMS is the age of the engine's report in milliseconds.
	AgeMS int64
}

// View is the state that a gateway needs to route requests.
type View struct {
	Version  uint64
	Revision uint64
	// Document is set if the revision differs from the one that the gateway last received.
	Document []byte
	Owners   []OwnerView
	Summary  []EndpointSummary
	// Draining is true when the instance is leaving.
	Draining bool
	// Full is true if Owners replaces everything that the gateway knows. Otherwise it holds the owners that changed
	// since the requested version; an empty address means that no owner is known any more.
	Full bool
}

// Summary reports the resources that an owner holds to the other controllers: the resources that have changed, and each
// resource again periodically.
type Summary struct {
	Owner string
	// Endpoints holds summaries without the owner's name, which is the same in all of them.
	Endpoints []EndpointSummary
	// KeySlots names key slots that the owner holds.
	KeySlots []string
	// Gone names the resources that the owner has ceased to hold.
	Gone []string
}

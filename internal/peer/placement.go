package peer

// Member is a live instance in the sender's list of instances.
type Member struct {
	// Address is the peer address of the instance.
	Address string
	// Capacity is the number of cores that the instance may use, in hundredths; at most MaxCapacity, zero if not
	// known.
	Capacity uint8
}

// LeavingCapacity is the capacity that a stopping instance reports. The other instances then choose it neither as
// scheduler nor as aggregator.
const LeavingCapacity = 1

// MaxCapacity is the largest capacity that an instance reports.
const MaxCapacity = 255

// PlaceShard names a shard of the endpoints of a service.
type PlaceShard struct {
	// Service is the key of the service.
	Service uint32
	// Index is the number of the shard, from 0, and Count the number of shards.
	Index, Count uint8
}

// PlaceRequest requests the placement of a request on a shard from the scheduler of the shard.
type PlaceRequest struct {
	// From is the peer address of the sender.
	From string
	// Number identifies the request among those of the sender.
	Number uint64
	Shard  PlaceShard
	// Tokens is the length of the prompt, Output the maximum length of the output, in tokens.
	Tokens, Output int64
	// ObjectiveMS is the remaining time to the first event, MaxGapMS the longest time between two events, and LimitMS
	// the remaining time of the request.
	ObjectiveMS, MaxGapMS, LimitMS int64
	// Avoid lists endpoints that must not be chosen for this request.
	Avoid []uint32
	// Suspects lists endpoints that fail requests of the sender.
	Suspects []uint32
	// Full lists endpoints that must not get a request from the sender now, because they limit their request rate. They may
	// be helpers.
	Full []uint32
}

// PlaceReservation is reserved memory of an endpoint.
type PlaceReservation struct {
	Endpoint uint32
	Tokens   int64
}

// PlaceReply is the reply to a PlaceRequest.
type PlaceReply struct {
	// NotReady is true if the receiver does not know enough of the load on the shard; no other field is set then.
	NotReady bool
	// Primary is the chosen endpoint, and Placed is true if there is one.
	Placed       bool
	Primary      uint32
	Helpers      []uint32
	Reservations []PlaceReservation
	// PartUS and PredictedUS are the prefill time of each endpoint and the time to the first event, in microseconds.
	// In a refusal PredictedUS is the shortest predicted time to the first event, if there was any.
	PartUS, PredictedUS int64
	// Reason and RetryAfterMS state why the request was not placed and when capacity is expected.
	Reason       string
	RetryAfterMS int64
	// Candidates is the number of endpoints that were considered.
	Candidates int
}

// PlaceUpdate informs a scheduler that the prefill of a placed request is done, or that the request has ended.
type PlaceUpdate struct {
	From   string
	Number uint64
	Shard  PlaceShard
	Ended  bool
	// Extension is sent only if the update is sent by its address.
	Extension PlaceUpdateExtension `msgpack:"-"`
}

// PlaceUpdateExtension holds what the sender has observed of the endpoints of a placed request. Zero values are not observed.
type PlaceUpdateExtension struct {
	// FirstUS is the time from the sending of the request to its first event, in microseconds.
	FirstUS int64 `msgpack:",omitempty"`
	// PauseUS is a low quantile of the latest pauses between events, in microseconds.
	PauseUS int64 `msgpack:",omitempty"`
	// Failed is true if the request failed at its primary endpoint.
	Failed bool `msgpack:",omitempty"`
}

// Extended implements Extended.
func (m *PlaceUpdate) Extended() any { return &m.Extension }

// PlacedWork is a request that has not ended.
type PlacedWork struct {
	// Number identifies the request among those of the sender. It is the Number of its PlaceRequest, if one was sent.
	Number       uint64
	Primary      uint32
	Helpers      []uint32
	Reservations []PlaceReservation
	// Tokens is the memory at the primary endpoint.
	Tokens                                    int64
	PartUS, PredictedUS                       int64
	MaxGapMS, ObjectiveMS, LimitMS, ElapsedMS int64
	// PrefillDone is true once the prefill of the whole prompt is done.
	PrefillDone bool
}

// PlaceSync lists all requests of the sender on a shard. The scheduler drops any other request of the sender.
type PlaceSync struct {
	From  string
	Shard PlaceShard
	Works []PlacedWork
}

// PlaceCollect requests the receiver's PlaceSync of a shard. An instance sends it to all others when it has become the
// scheduler of the shard, because they may learn of that seconds later.
type PlaceCollect struct {
	Shard PlaceShard
}

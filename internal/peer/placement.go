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
	// Extension holds the fields that earlier versions do not know. A request that cannot wait is sent without it.
	Extension PlaceRequestExtension `msgpack:"-"`
}

// PlaceRequestExtension states how a request may wait at the scheduler for capacity.
type PlaceRequestExtension struct {
	// Waits is true if the request may wait. Without it only Rank and Prompt have a meaning, and only with HasReturns.
	Waits bool `msgpack:"waits,omitempty"`
	// Rank is the urgency of the request; 0 is the highest.
	Rank int64 `msgpack:"rank,omitempty"`
	// Team is a hash of the caller's team, and Prompt of the caller's own part of the prompt; zero if there is none.
	Team   uint32 `msgpack:"team,omitempty"`
	Prompt uint64 `msgpack:"prompt,omitempty"`
	// UsedMS is the time that the request has already used, counted from the caller's first attempt.
	UsedMS int64 `msgpack:"used,omitempty"`
	// FullObjectiveMS is the objective counted from the caller's first attempt. If it is zero, PlaceRequest.ObjectiveMS holds
	// whenever the request is placed.
	FullObjectiveMS int64 `msgpack:"objective,omitempty"`
	// UsefulMS is the remaining time in which the first event has any value.
	UsefulMS int64 `msgpack:"useful,omitempty"`
	// Try is true if the request must not wait: it is placed at once, if no waiting request precedes it, or refused.
	Try bool `msgpack:"try,omitempty"`
	// HoldMS is how long the scheduler may defer its reply.
	HoldMS int64 `msgpack:"hold,omitempty"`
	// Failed is the address of the scheduler that did not reply, if the receiver is asked in its place.
	Failed string `msgpack:"failed,omitempty"`
	// HasReturns is true for a request that may not wait, but whose refusal is to state a return time.
	HasReturns bool `msgpack:"returns,omitempty"`
}

// Extended implements Extended.
func (m *PlaceRequest) Extended() any { return &m.Extension }

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
	// Extension holds the fields that earlier versions do not know. It is sent only in replies to requests that may wait.
	Extension PlaceReplyExtension `msgpack:"-"`
}

// PlaceReplyExtension is the part of a reply that concerns waiting and return times.
type PlaceReplyExtension struct {
	// Queues is true if the scheduler has a wait queue. An earlier version refuses what it cannot place now.
	Queues bool `msgpack:"queues,omitempty"`
	// Waiting is true if the request is still waiting. It leaves the queue unless it is sent again soon.
	Waiting bool `msgpack:"waiting,omitempty"`
	// HeldUS is the time from the receipt of the request to the decision, in microseconds.
	HeldUS int64 `msgpack:"held,omitempty"`
	// Told is true if the scheduler expects the caller after RetryAfterMS. Returning is true if the caller has kept to a time that
	// it was told before.
	Told      bool `msgpack:"told,omitempty"`
	Returning bool `msgpack:"returning,omitempty"`
}

// Extended implements Extended.
func (m *PlaceReply) Extended() any { return &m.Extension }

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

package peer

// Member is a live instance in a list of those that the sender knows.
type Member struct {
	// Address is the instance's peers' address.
	Address string
	// Capacity is the part of a core that the instance may use, in hundredths; at most MaxCapacity, zero if not known.
	Capacity uint8
}

// LeavingCapacity is told by an instance that stops, so that the others choose it for no common work.
const LeavingCapacity = 1

// MaxCapacity is the largest capacity that is told.
const MaxCapacity = 255

// PlaceShard names a part of the endpoints of a service.
type PlaceShard struct {
	// Service is the key of the service.
	Service uint32
	// Index is the number of the part, from 0, and Count the number of parts.
	Index, Count uint8
}

// PlaceAsk asks a scheduler to place a request on its shard.
type PlaceAsk struct {
	// From is the peers' address of the sender.
	From string
	// Number identifies the ask among those of the sender.
	Number uint64
	Shard  PlaceShard
	// Tokens is the length of the prompt, Output the longest answer, in tokens.
	Tokens, Output int64
	// ObjectiveMS is what is left of the time to the first event, PauseMS the longest pause between two events, and LimitMS
	// what is left of the time of the request.
	ObjectiveMS, PauseMS, LimitMS int64
	// Avoid lists endpoints that must not be chosen for this request.
	Avoid []uint32
	// Suspects lists endpoints that fail requests of the sender.
	Suspects []uint32
}

// PlaceHolding is memory at an endpoint.
type PlaceHolding struct {
	Endpoint uint32
	Tokens   int64
}

// PlaceReply answers a PlaceAsk.
type PlaceReply struct {
	// Unready is true if the receiver does not know the work on the shard well enough; nothing else is set then.
	Unready bool
	// First is the chosen endpoint, and Placed is true if there is one.
	Placed   bool
	First    uint32
	Helpers  []uint32
	Holdings []PlaceHolding
	// PartUS and PredictedUS are the reading time of each endpoint and the time to the first event, in microseconds. In a
	// refusal PredictedUS is the best time to the first event, if there was one.
	PartUS, PredictedUS int64
	// Reason and RetryAfterMS tell why the request was not placed and when room is expected.
	Reason       string
	RetryAfterMS int64
	// Candidates is the number of endpoints that were considered.
	Candidates int
}

// PlaceNotice tells a scheduler that the prompt of a placed request was read, or that the request has ended.
type PlaceNotice struct {
	From   string
	Number uint64
	Shard  PlaceShard
	Ended  bool
}

// PlacedWork is a request that has not ended.
type PlacedWork struct {
	// Number is that of the ask by which the request was placed.
	Number   uint64
	First    uint32
	Helpers  []uint32
	Holdings []PlaceHolding
	// Tokens is the memory at the first endpoint.
	Tokens                                   int64
	PartUS, PredictedUS                      int64
	PauseMS, ObjectiveMS, LimitMS, ElapsedMS int64
	// Read is true once the prompt was read.
	Read bool
}

// PlaceSync lists all requests of the sender on a shard. A scheduler forgets others of the sender.
type PlaceSync struct {
	From  string
	Shard PlaceShard
	Works []PlacedWork
}

package entry

// EndpointFinding is what a check has found about an endpoint.
type EndpointFinding string

// The findings.
const (
	// FoundSame means that the incarnation answers that got the request.
	FoundSame EndpointFinding = "same_incarnation"
	// FoundOther means that another incarnation, or another endpoint, answers at the address.
	FoundOther EndpointFinding = "other_incarnation"
	// foundRefused means that nothing listens at the address.
	foundRefused EndpointFinding = "refused"
	// foundClosed means that a connection was accepted and ended without an answer, as it does between the end of a process and that
	// of its listener.
	foundClosed EndpointFinding = "closed"
	// foundSilent means that there was no answer in time.
	foundSilent EndpointFinding = "no_answer"
	// FoundRejected means that the endpoint is too busy to answer. One that has just started is not.
	FoundRejected EndpointFinding = "rejected"
	// foundAccepts means that a connection was accepted and stayed open, and that nothing more could be asked.
	foundAccepts EndpointFinding = "accepts"
	// foundWitnessClosed means that a connection that was opened during the response has ended without an answer: its process has ended.
	foundWitnessClosed EndpointFinding = "witness_closed"
	// foundNoEvent means that a stream has ended without an event, perhaps right after its head, and that nothing was asked.
	foundNoEvent EndpointFinding = "no_event"
	// foundPaused means that this instance has paused during the attempt, or has noticed the end late, so that a successor under the same
	// id may answer, and that the answer would state only the id.
	foundPaused EndpointFinding = "instance_paused"
	// foundUnasked means that an endpoint that holds memory for the request may not be asked, because it has requested a back-off, and that
	// nothing else shows that the process runs that reserved it.
	foundUnasked EndpointFinding = "not_asked"
	// foundMemoryLost means that memory that the endpoint or its helpers had reserved for the request may have been freed.
	foundMemoryLost EndpointFinding = "memory_lost"
)

// isAlive reports whether the incarnation that got the request still runs.
func (f EndpointFinding) isAlive() bool {
	return f == FoundSame || f == FoundRejected || f == foundAccepts
}

// hasEnded reports whether the incarnation that got the request has ended.
func (f EndpointFinding) hasEnded() bool { return f == FoundOther || f == foundRefused }

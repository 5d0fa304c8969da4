package peer

import (
	"strconv"
	"strings"
)

// RequestID identifies one dispatch to an endpoint. Engines report it for each stream, and the endpoint's owner reads from
// it which gateway process started the stream.
type RequestID struct {
	Gateway     string
	Incarnation int64
	// Sequence numbers the requests of the gateway's incarnation.
	Sequence uint64
	// Part distinguishes the dispatches of one request: an attempt, or a segment of a group prompt.
	Part string
}

// requestIDFieldCount is the number of fields in the id of a dispatch.
const requestIDFieldCount = 4

// shortPrefix begins a shortened id. It cannot begin another id, because no instance has an empty name.
const shortPrefix = ":"

// String returns "GATEWAY:INCARNATION:SEQUENCE:PART", or without ":PART" if Part is empty.
func (id RequestID) String() string {
	fields := []string{id.Gateway, strconv.FormatInt(id.Incarnation, 10), strconv.FormatUint(id.Sequence, 10)}
	if id.Part != "" {
		fields = append(fields, id.Part)
	}
	return strings.Join(fields, ":")
}

// ParseRequestID parses the id of a dispatch; ok is false for any other id.
func ParseRequestID(text string) (id RequestID, ok bool) {
	fields := strings.Split(text, ":")
	if len(fields) != requestIDFieldCount {
		return RequestID{}, false
	}
	incarnation, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return RequestID{}, false
	}
	sequence, err := strconv.ParseUint(fields[2], 10, 64)
	if err != nil {
		return RequestID{}, false
	}
	return RequestID{Gateway: fields[0], Incarnation: incarnation, Sequence: sequence, Part: fields[3]}, true
}

// ShortenIDs removes the gateway's name and incarnation, which all items of a report share, from the ids. RestoreIDs
// reverses it. Ids of other gateways or incarnations stay as they are.
func (r *CreditReport) ShortenIDs() {
	prefix := r.idPrefix()
	for i := range r.Items {
		if short, ok := strings.CutPrefix(r.Items[i].RequestID, prefix); ok {
			r.Items[i].RequestID = shortPrefix + short
		}
	}
}

// RestoreIDs completes the ids of a received report.
func (r *CreditReport) RestoreIDs() {
	prefix := r.idPrefix()
	for i := range r.Items {
		if short, ok := strings.CutPrefix(r.Items[i].RequestID, shortPrefix); ok {
			r.Items[i].RequestID = prefix + short
		}
	}
}

func (r *CreditReport) idPrefix() string {
	return r.Gateway + ":" + strconv.FormatInt(r.Incarnation, 10) + ":"
}

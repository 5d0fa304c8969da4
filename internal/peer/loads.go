package peer

import (
	"encoding/binary"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// EndpointLoad is the work that was placed on one endpoint.
type EndpointLoad struct {
	// Endpoint identifies the incarnation of the endpoint.
	Endpoint uint32
	// Streams counts the requests that have not ended.
	Streams int
	// UsedTokens is the number of tokens that these requests occupy in the KV cache. It is sent in units of contextUnit.
	UsedTokens int64
	// PrefillBacklogMS is the time that the endpoint still needs to prefill prompts.
	PrefillBacklogMS int64
	// PrefillDueInMS is the time until the earliest moment at which a prefill must be done; zero if there is none. It is sent
	// in units of timeUnitMS, rounded up so that it does not become zero.
	PrefillDueInMS int64
	// MaxGapMS is the least bound on the time between two events among the streams; zero if none has one. It is sent as
	// PrefillDueInMS is.
	MaxGapMS int64
	// Suspect is true if the sender avoids the endpoint because it fails requests.
	Suspect bool
}

const (
	contextUnit = 1024
	timeUnitMS  = 10
	// maxLoads bounds the list of a message.
	maxLoads = 1 << 16
)

// EndpointLoads is a list of loads. It is sent as one binary value with about ten bytes an endpoint, because it makes up
// most of the bytes between instances; a msgpack array of each would have 25.
type EndpointLoads []EndpointLoad

// EncodeMsgpack implements msgpack.CustomEncoder.
func (l EndpointLoads) EncodeMsgpack(encoder *msgpack.Encoder) error {
	packed := binary.AppendUvarint(nil, uint64(len(l)))
	for i := range l {
		packed = l[i].appendTo(packed)
	}
	return encoder.EncodeBytes(packed)
}

func (e *EndpointLoad) appendTo(packed []byte) []byte {
	streams := uint64(max(e.Streams, 0)) << 1
	if e.Suspect {
		streams |= 1
	}
	packed = binary.LittleEndian.AppendUint32(packed, e.Endpoint)
	for _, value := range []uint64{
		streams, units(e.UsedTokens+contextUnit/2, contextUnit), units(e.PrefillBacklogMS, 1),
		units(e.PrefillDueInMS+timeUnitMS-1, timeUnitMS), units(e.MaxGapMS+timeUnitMS-1, timeUnitMS),
	} {
		packed = binary.AppendUvarint(packed, value)
	}
	return packed
}

func units(value, unit int64) uint64 { return uint64(max(value, 0) / unit) }

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *EndpointLoads) DecodeMsgpack(decoder *msgpack.Decoder) error {
	packed, err := decoder.DecodeBytes()
	if err != nil {
		return err
	}
	count, packed, err := uvarint(packed)
	if err != nil {
		return err
	}
	if count > maxLoads || count > uint64(len(packed)) {
		return &FrameError{Code: "malformed", Detail: fmt.Sprintf("%d loads in %d bytes", count, len(packed))}
	}
	*l = make(EndpointLoads, count)
	for i := range *l {
		if packed, err = (*l)[i].decode(packed); err != nil {
			return err
		}
	}
	return nil
}

func (e *EndpointLoad) decode(packed []byte) (rest []byte, err error) {
	if len(packed) < 4 {
		return nil, &FrameError{Code: "malformed", Detail: "load is cut"}
	}
	e.Endpoint = binary.LittleEndian.Uint32(packed)
	packed = packed[4:]
	var values [5]uint64
	for i := range values {
		if values[i], packed, err = uvarint(packed); err != nil {
			return nil, err
		}
	}
	e.Streams, e.Suspect = int(values[0]>>1), values[0]&1 == 1
	e.UsedTokens = int64(values[1]) * contextUnit
	e.PrefillBacklogMS = int64(values[2])
	e.PrefillDueInMS = int64(values[3]) * timeUnitMS
	e.MaxGapMS = int64(values[4]) * timeUnitMS
	return packed, nil
}

// maxValue bounds the numbers of a load, so that sums of them stay in range.
const maxValue = 1 << 40

func uvarint(packed []byte) (value uint64, rest []byte, err error) {
	value, n := binary.Uvarint(packed)
	if n <= 0 || value > maxValue {
		return 0, nil, &FrameError{Code: "malformed", Detail: "load is cut or out of range"}
	}
	return value, packed[n:], nil
}

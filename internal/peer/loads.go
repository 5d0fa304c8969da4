package peer

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// EndpointLoad is the load that the requests on one endpoint cause.
type EndpointLoad struct {
	// Endpoint identifies the incarnation of the endpoint.
	Endpoint uint32
	// Streams counts the requests that have not ended.
	Streams int
	// UsedTokens is the number of tokens that these requests occupy in the KV cache. It is sent in units of
	// tokenUnit.
	UsedTokens int64
	// PrefillBacklogMS is the time that the endpoint still needs to prefill prompts.
	PrefillBacklogMS int64
	// PrefillDueInMS is the time until the earliest deadline of a prefill; zero if there is none. It is sent in units
	// of timeUnitMS, rounded up because zero means none.
	PrefillDueInMS int64
	// MaxGapMS is the least bound on the time between two events among the streams; zero if no stream has a bound. It
	// is encoded in the same way as PrefillDueInMS.
	MaxGapMS int64
	// Suspect is true if the sender avoids the endpoint because it fails requests.
	Suspect bool
}

const (
	tokenUnit  = 1024
	timeUnitMS = 10
	// maxLoads bounds the number of loads in a message.
	maxLoads = 1 << 16
)

// EndpointLoads is a list of loads. It is sent as one binary value with about ten bytes per endpoint, because it
// makes up most of the bytes between instances; as msgpack arrays it would take 25 bytes per endpoint.
type EndpointLoads []EndpointLoad

// EncodeMsgpack implements msgpack.CustomEncoder.
func (l EndpointLoads) EncodeMsgpack(encoder *msgpack.Encoder) error {
	encoded := binary.AppendUvarint(nil, uint64(len(l)))
	for i := range l {
		encoded = l[i].appendTo(encoded)
	}
	return encoder.EncodeBytes(encoded)
}

func (e *EndpointLoad) appendTo(encoded []byte) []byte {
	bounded := e.bounded()
	streams := uint64(bounded.Streams) << 1
	if e.Suspect {
		streams |= 1
	}
	encoded = binary.LittleEndian.AppendUint32(encoded, e.Endpoint)
	for _, value := range []uint64{
		streams, uint64(bounded.UsedTokens+tokenUnit/2) / tokenUnit, uint64(bounded.PrefillBacklogMS),
		uint64(bounded.PrefillDueInMS+timeUnitMS-1) / timeUnitMS, uint64(bounded.MaxGapMS+timeUnitMS-1) / timeUnitMS,
	} {
		encoded = binary.AppendUvarint(encoded, value)
	}
	return encoded
}

// The bounds of a load. The sums over all instances of a fleet stay within their types.
const (
	maxStreams    = 1 << 30
	maxUsedTokens = 1 << 50
	maxBacklog    = 24 * time.Hour
)

// bounded returns the load with each number in its range. A number beyond it is a sum of estimates, and its exact value has no use.
func (e *EndpointLoad) bounded() EndpointLoad {
	b := *e
	b.Streams = min(max(b.Streams, 0), maxStreams)
	b.UsedTokens = min(max(b.UsedTokens, 0), maxUsedTokens)
	b.PrefillBacklogMS = min(max(b.PrefillBacklogMS, 0), maxBacklog.Milliseconds())
	b.PrefillDueInMS = min(max(b.PrefillDueInMS, 0), MaxTime.Milliseconds())
	b.MaxGapMS = min(max(b.MaxGapMS, 0), MaxTime.Milliseconds())
	return b
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *EndpointLoads) DecodeMsgpack(decoder *msgpack.Decoder) error {
	encoded, err := decoder.DecodeBytes()
	if err != nil {
		return err
	}
	count, encoded, err := decodeUvarint(encoded)
	if err != nil {
		return err
	}
	if count > maxLoads || count > uint64(len(encoded)) {
		return &FrameError{Code: "malformed", Detail: fmt.Sprintf("%d loads in %d bytes", count, len(encoded))}
	}
	*l = make(EndpointLoads, count)
	for i := range *l {
		if encoded, err = (*l)[i].decodeFrom(encoded); err != nil {
			return err
		}
	}
	return nil
}

func (e *EndpointLoad) decodeFrom(encoded []byte) (remaining []byte, err error) {
	if len(encoded) < 4 {
		return nil, &FrameError{Code: "malformed", Detail: "load is truncated"}
	}
	e.Endpoint = binary.LittleEndian.Uint32(encoded)
	encoded = encoded[4:]
	var values [5]uint64
	for i := range values {
		if values[i], encoded, err = decodeUvarint(encoded); err != nil {
			return nil, err
		}
	}
	e.Streams, e.Suspect = int(values[0]>>1), values[0]&1 == 1
	e.UsedTokens = int64(values[1]) * tokenUnit
	e.PrefillBacklogMS = int64(values[2])
	e.PrefillDueInMS = int64(values[3]) * timeUnitMS
	e.MaxGapMS = int64(values[4]) * timeUnitMS
	*e = e.bounded()
	return encoded, nil
}

// maxLoadValue bounds the encoded numbers of a load.
const maxLoadValue = 1 << 40

func decodeUvarint(encoded []byte) (value uint64, remaining []byte, err error) {
	value, n := binary.Uvarint(encoded)
	if n <= 0 || value > maxLoadValue {
		return 0, nil, &FrameError{Code: "malformed", Detail: "load is truncated or out of range"}
	}
	return value, encoded[n:], nil
}

package peer

import (
	"encoding/binary"
	"fmt"
)

const (
	// maxDepth bounds the nesting of values in a message; the known ones have at most 6 levels. Decoding takes some of the stack for
	// each level.
	maxDepth = 16
	// maxElements bounds the elements of all arrays and maps of a message, fields of structs included. The decoder allocates an array
	// by its announced length, and a struct of up to 150 bytes for an element that takes one byte.
	maxElements = 1 << 18
)

// checkShape checks the nesting and the announced lengths of all values in encoded msgpack, without allocating memory for them.
func checkShape(encoded []byte) error {
	// left holds the number of elements that are still to come, for each open array or map.
	var left [maxDepth]uint64
	depth, elements := 0, uint64(0)
	for len(encoded) > 0 || depth > 0 {
		size, children, err := valueSize(encoded)
		if err != nil {
			return err
		}
		encoded = encoded[size:]
		elements += children
		if elements > maxElements || children > uint64(len(encoded)) {
			return &FrameError{Code: "malformed", Detail: fmt.Sprintf("%d elements announced in %d bytes", children, len(encoded))}
		}
		if depth > 0 {
			left[depth-1]--
		}
		if children > 0 {
			if depth == maxDepth {
				return &FrameError{Code: "malformed", Detail: "values are nested too deep"}
			}
			left[depth] = children
			depth++
		}
		for depth > 0 && left[depth-1] == 0 {
			depth--
		}
	}
	return nil
}

// valueSize returns the size of the first value, without the elements of an array or map, and the number of these elements.
func valueSize(encoded []byte) (size int, children uint64, err error) {
	if len(encoded) == 0 {
		return 0, 0, errTruncated()
	}
	code := encoded[0]
	switch {
	case code <= 0x7f, code >= 0xe0, code == 0xc0, code == 0xc2, code == 0xc3:
		return 1, 0, nil
	case code <= 0x8f:
		return 1, 2 * uint64(code&0x0f), nil
	case code <= 0x9f:
		return 1, uint64(code & 0x0f), nil
	case code <= 0xbf:
		return fixedSize(encoded, uint64(code&0x1f))
	case code >= 0xca && code <= 0xd8:
		return fixedSize(encoded, fixedSizes[code-0xca])
	}
	header, ok := lengthHeaders[code]
	if !ok {
		return 0, 0, &FrameError{Code: "malformed", Detail: fmt.Sprintf("unknown code %x", code)}
	}
	if len(encoded) < 1+header.lengthBytes {
		return 0, 0, errTruncated()
	}
	var padded [8]byte
	copy(padded[8-header.lengthBytes:], encoded[1:1+header.lengthBytes])
	length := binary.BigEndian.Uint64(padded[:])
	if header.childrenPerElement > 0 {
		return 1 + header.lengthBytes, length * header.childrenPerElement, nil
	}
	return fixedSize(encoded, uint64(header.lengthBytes)+header.extraBytes+length)
}

// fixedSize returns the size of a value whose content follows its code. It fails if the content is truncated.
func fixedSize(encoded []byte, content uint64) (size int, children uint64, err error) {
	if content > uint64(len(encoded)-1) {
		return 0, 0, errTruncated()
	}
	return 1 + int(content), 0, nil
}

// fixedSizes are the sizes of the content after the codes from 0xca: two floats, four unsigned and four signed integers, and five
// extensions with a type.
var fixedSizes = [...]uint64{4, 8, 1, 2, 4, 8, 1, 2, 4, 8, 2, 3, 5, 9, 17}

// lengthHeader describes a value whose length follows its code.
type lengthHeader struct {
	lengthBytes int
	// extraBytes follow the length in addition to the content.
	extraBytes uint64
	// childrenPerElement is 1 for arrays, 2 for maps and 0 for values without elements.
	childrenPerElement uint64
}

var lengthHeaders = map[byte]lengthHeader{
	0xc4: {lengthBytes: 1},
	0xc5: {lengthBytes: 2},
	0xc6: {lengthBytes: 4},
	0xc7: {lengthBytes: 1, extraBytes: 1},
	0xc8: {lengthBytes: 2, extraBytes: 1},
	0xc9: {lengthBytes: 4, extraBytes: 1},
	0xd9: {lengthBytes: 1},
	0xda: {lengthBytes: 2},
	0xdb: {lengthBytes: 4},
	0xdc: {lengthBytes: 2, childrenPerElement: 1},
	0xdd: {lengthBytes: 4, childrenPerElement: 1},
	0xde: {lengthBytes: 2, childrenPerElement: 2},
	0xdf: {lengthBytes: 4, childrenPerElement: 2},
}

func errTruncated() error { return &FrameError{Code: "malformed", Detail: "value is truncated"} }

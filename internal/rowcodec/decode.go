// Package rowcodec decodes the msgpack bodies that proxies send each other. The msgpack library allocates as many elements
// as a list announces before it reads the first; this package looks at the lengths first, so that a body costs no more
// memory than its own bytes call for.
package rowcodec

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// ErrMalformed is returned for a body whose lists, maps or strings are longer than the body.
var ErrMalformed = errors.New("msgpack: a length is beyond the end")

// maxDepth bounds how deep lists and maps may be nested.
const maxDepth = 16

// Decode decodes a body into a value, as msgpack.Unmarshal does. The library panics on some bodies, such as one with nil
// for a time; that is an error as well.
func Decode(body []byte, value any) (err error) {
	if err := checkLengths(body); err != nil {
		return err
	}
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("msgpack: %v", p)
		}
	}()
	return msgpack.Unmarshal(body, value)
}

// checkLengths returns ErrMalformed unless the first element of a body lies within it, with all that it contains.
func checkLengths(body []byte) error {
	s := scanner{rest: body}
	return s.skip(0)
}

// scanner walks over msgpack.
type scanner struct{ rest []byte }

// skip passes over one element and all that it contains.
func (s *scanner) skip(depth int) error {
	if depth > maxDepth || len(s.rest) == 0 {
		return ErrMalformed
	}
	format := s.rest[0]
	s.rest = s.rest[1:]
	shape, err := s.shapeOf(format)
	if err != nil {
		return err
	}
	if shape.bytes > uint64(len(s.rest)) || shape.elements > uint64(len(s.rest)) { // an element has one byte at least
		return ErrMalformed
	}
	s.rest = s.rest[shape.bytes:]
	for range shape.elements {
		if err := s.skip(depth + 1); err != nil {
			return err
		}
	}
	return nil
}

// shape is what follows an element's format and length.
type shape struct {
	bytes    uint64 // of the element itself
	elements uint64 // that it contains
}

// The formats of msgpack whose length or size does not stand in the format byte itself.
const (
	formatBin8    = 0xc4
	formatExt8    = 0xc7
	formatFloat32 = 0xca
	formatUint8   = 0xcc
	formatInt8    = 0xd0
	formatFixExt1 = 0xd4
	formatStr8    = 0xd9
	formatArray16 = 0xdc
	formatMap16   = 0xde
	formatNegInt  = 0xe0
)

// shapeOf reads the length that follows a format, if one does.
func (s *scanner) shapeOf(format byte) (shape, error) {
	switch {
	case format < 0x80 || format >= formatNegInt || format >= 0xc0 && format < formatBin8: // small integers, nil, booleans
		return shape{}, nil
	case format < 0x90:
		return shape{elements: 2 * uint64(format&0x0f)}, nil
	case format < 0xa0:
		return shape{elements: uint64(format & 0x0f)}, nil
	case format < 0xc0:
		return shape{bytes: uint64(format & 0x1f)}, nil
	case format < formatExt8:
		return s.readLength(1<<(format-formatBin8), func(n uint64) shape { return shape{bytes: n} })
	case format < formatFloat32:
		return s.readLength(1<<(format-formatExt8), func(n uint64) shape { return shape{bytes: n + 1} })
	case format < formatUint8:
		return shape{bytes: 4 << (format - formatFloat32)}, nil
	case format < formatInt8:
		return shape{bytes: 1 << (format - formatUint8)}, nil
	case format < formatFixExt1:
		return shape{bytes: 1 << (format - formatInt8)}, nil
	case format < formatStr8:
		return shape{bytes: 1 + 1<<(format-formatFixExt1)}, nil
	case format < formatArray16:
		return s.readLength(1<<(format-formatStr8), func(n uint64) shape { return shape{bytes: n} })
	case format < formatMap16:
		return s.readLength(2<<(format-formatArray16), func(n uint64) shape { return shape{elements: n} })
	}
	return s.readLength(2<<(format-formatMap16), func(n uint64) shape { return shape{elements: 2 * n} })
}

// readLength reads a length of so many bytes.
func (s *scanner) readLength(width int, toShape func(length uint64) shape) (shape, error) {
	if len(s.rest) < width {
		return shape{}, ErrMalformed
	}
	length := s.rest[:width]
	s.rest = s.rest[width:]
	switch width {
	case 1:
		return toShape(uint64(length[0])), nil
	case 2:
		return toShape(uint64(binary.BigEndian.Uint16(length))), nil
	}
	return toShape(uint64(binary.BigEndian.Uint32(length))), nil
}

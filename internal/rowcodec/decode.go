// Package rowcodec decodes the msgpack bodies that proxies receive from each other. The msgpack library allocates the
// announced number of elements of a list before it reads the first one. This package checks all lengths beforehand, so
// that the memory allocated for a body is bounded by the body's own size.
package rowcodec

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// ErrMalformed is returned for a body whose lists, maps or strings extend beyond its end, or are nested too deeply.
var ErrMalformed = errors.New("msgpack: a length is beyond the end")

// maxDepth is the maximum nesting depth of lists and maps.
const maxDepth = 16

// Decode decodes a body into value, as msgpack.Unmarshal does. It returns ErrMalformed if a length in the body is too
// large. The library panics on some bodies, for example on a nil in place of a time; Decode returns such a panic as an
// error.
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

// checkLengths returns ErrMalformed unless the first element of a body, with everything nested in it, ends within the body.
func checkLengths(body []byte) error {
	s := scanner{rest: body}
	return s.skip(0)
}

// scanner steps over msgpack elements. It holds the bytes that remain.
type scanner struct{ rest []byte }

// skip steps over one element and everything nested in it.
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
	if shape.bytes > uint64(len(s.rest)) || shape.elements > uint64(len(s.rest)) { // each element takes at least one byte
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

// shape is the size of the content that follows the format byte and length of an element.
type shape struct {
	bytes    uint64 // number of bytes of the element itself
	elements uint64 // number of elements nested in it
}

// The first format byte of each group of msgpack formats whose size is not part of the format byte, and formatNegInt, the
// first of the negative integers.
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

// shapeOf returns the shape of an element with the given format byte. It reads the length that follows the format byte, if
// the format has one.
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

// readLength reads a length that is width bytes long, and returns the shape that toShape returns for it.
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

package rowcodec

import (
	"errors"
	"math"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// everyFormat has a field for each group of msgpack formats.
type everyFormat struct {
	Nil     *int
	Bool    bool
	Ints    []int64
	Uints   []uint64
	Floats  []float64
	Float32 float32
	Texts   []string
	Bytes   [][]byte
	Maps    []map[string]int
	At      time.Time
}

// filledFormats returns a value whose encoding uses the formats of all sizes.
func filledFormats() everyFormat {
	sizes := []int{0, 1, 15, 16, 31, 32, 255, 256, 65535, 65536}
	all := everyFormat{Bool: true, Float32: 1.5, At: time.Unix(1700000000, 5).UTC()}
	for _, n := range sizes {
		all.Texts = append(all.Texts, strings.Repeat("t", n))
		all.Bytes = append(all.Bytes, make([]byte, n))
		all.Floats = append(all.Floats, make([]float64, n%300)...)
	}
	for shift := range 64 {
		all.Ints = append(all.Ints, 1<<shift-1, -1<<shift, math.MinInt64>>shift)
		all.Uints = append(all.Uints, 1<<shift)
	}
	for _, n := range []int{0, 1, 15, 16, 300} {
		m := map[string]int{}
		for i := range n {
			m[strings.Repeat("k", i)] = i
		}
		all.Maps = append(all.Maps, m)
	}
	return all
}

// TestDecodeSupportsEveryFormat checks that a value encoded by the msgpack library is decoded to the same value, in all
// formats.
func TestDecodeSupportsEveryFormat(t *testing.T) {
	want := filledFormats()
	encoded, err := msgpack.Marshal(&want)
	if err != nil {
		t.Fatal(err)
	}
	var got everyFormat
	if err := Decode(encoded, &got); err != nil {
		t.Fatal(err)
	}
	got.At = got.At.UTC()
	if !reflect.DeepEqual(got, want) {
		t.Error("decoded value differs from the encoded one")
	}
}

// TestDecodeRejectsTruncatedBody checks that a body truncated at any byte is rejected before memory is allocated for it.
func TestDecodeRejectsTruncatedBody(t *testing.T) {
	small := everyFormat{
		Ints: []int64{1, 1 << 40}, Texts: []string{"some text"}, Bytes: [][]byte{{1, 2, 3}}, At: time.Unix(1, 0),
	}
	encoded, err := msgpack.Marshal(&small)
	if err != nil {
		t.Fatal(err)
	}
	for n := range len(encoded) {
		if err := checkLengths(encoded[:n]); !errors.Is(err, ErrMalformed) {
			t.Errorf("%d of %d bytes: got error %v, want ErrMalformed", n, len(encoded), err)
		}
	}
	if err := checkLengths(encoded); err != nil {
		t.Error(err)
	}
}

// TestDecodeRejectsLengthsBeyondEnd checks that lengths beyond the end of the body, in every format, and unlimited nesting
// are rejected.
func TestDecodeRejectsLengthsBeyondEnd(t *testing.T) {
	for _, body := range [][]byte{
		{0x9f},
		{0x8f},
		{0xbf},
		{0xc4, 9},
		{0xc5, 1, 0},
		{0xc6, 4, 0, 0, 0},
		{0xc7, 9, 1},
		{0xc8, 1, 0, 1},
		{0xc9, 1, 0, 0, 0, 1},
		{0xca, 0},
		{0xcb, 0},
		{0xcc},
		{0xcd, 0},
		{0xce, 0},
		{0xcf, 0},
		{0xd0},
		{0xd1, 0},
		{0xd2, 0},
		{0xd3, 0},
		{0xd4, 0},
		{0xd8, 0},
		{0xd9, 9},
		{0xda, 1, 0},
		{0xdb, 4, 0, 0, 0},
		{0xdc, 1, 0},
		{0xdd, 4, 0, 0, 0},
		{0xde, 1, 0},
		{0xdf, 4, 0, 0, 0},
		{0xdf, 0xff, 0xff, 0xff, 0xff},
		{},
		[]byte(strings.Repeat("\x91", 1000) + "\x01"),
	} {
		if err := checkLengths(body); !errors.Is(err, ErrMalformed) {
			t.Errorf("% x: got error %v, want ErrMalformed", body, err)
		}
	}
}

// TestDecodeReturnsPanicAsError checks that a panic of the msgpack library, caused by a nil in place of a time, is returned
// as an error.
func TestDecodeReturnsPanicAsError(t *testing.T) {
	body := append([]byte{0x81, 0xa2}, "At\xc0"...)
	if err := Decode(body, &everyFormat{}); err == nil {
		t.Error("got no error for a nil in place of a time")
	}
}

// FuzzDecode checks that the memory allocated for a body is bounded by a multiple of its length.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{0x81, 0xa4, 'I', 'n', 't', 's', 0xdd, 4, 0, 0, 0})
	f.Fuzz(func(t *testing.T, body []byte) {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		var value everyFormat
		_ = Decode(body, &value)
		runtime.ReadMemStats(&after)
		if n, limit := after.TotalAlloc-before.TotalAlloc, uint64(1<<16+1000*len(body)); n > limit {
			t.Errorf("allocated %d bytes for a body of %d bytes", n, len(body))
		}
	})
}

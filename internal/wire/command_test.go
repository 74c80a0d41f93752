package wire

import (
	"errors"
	"testing"
)

// A command that arrives in parts is incomplete until its last byte, and is then parsed like one that arrives at once.
// Bytes after it are not consumed.
func TestParseCommandIncompleteUntilLastByte(t *testing.T) {
	for _, test := range []struct{ name, text string }{
		{"plain command", "*1\r\n$4\r\nPING\r\n"},
		{"read", "*4\r\n$6\r\nkv.get\r\n$2\r\nk1\r\n$3\r\nid1\r\n$12\r\nc=read,d=480\r\n"},
		{"write up to its value", "*5\r\n$6\r\nKV.SET\r\n$2\r\nk1\r\n$3\r\nid1\r\n$11\r\nc=put,d=480\r\n$65536\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			text := test.text
			for n := range len(text) {
				if _, _, err := ParseCommand([]byte(text[:n])); !errors.Is(err, ErrIncomplete) {
					t.Errorf("%q: got error %v, want ErrIncomplete", text[:n], err)
				}
			}
			c, n, err := ParseCommand([]byte(text + "*1\r\n"))
			if err != nil || n != len(text) {
				t.Errorf("%q: got %d bytes consumed, error %v, want all of the bytes consumed", text, n, err)
			}
			if c.Is("KV.GET") && (string(c.Key) != "k1" || string(c.ID) != "id1" || c.ValueLength != -1) {
				t.Errorf("%q: got %+v, want key k1, ID id1 and value length -1", text, c)
			}
			if c.Is("KV.SET") && (string(c.Facts) != "c=put,d=480" || c.ValueLength != 65536) {
				t.Errorf("%q: got %+v, want facts c=put,d=480 and value length 65536", text, c)
			}
		})
	}
}

func TestParseCommandRejectsMalformed(t *testing.T) {
	for _, test := range []struct{ name, text string }{
		{"inline command", "PING\r\n"},
		{"no words", "*0\r\n"},
		{"too many words", "*17\r\n"},
		{"negative number of words", "*-1\r\n"},
		{"line end without CR", "*1\n$4\r\n"},
		{"letter in a number", "*1x\r\n"},
		{"number that does not end", "*99999999999999999999"},
		{"integer as a word", "*1\r\n:4\r\n"},
		{"word of length -0", "*4\r\n$6\r\nKV.GET\r\n$1\r\nk\r\n$1\r\ni\r\n$-0\r\n\r\n"},
		{"value of length -0", "*5\r\n$6\r\nKV.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$1\r\nf\r\n$-0\r\n"},
		{"null word", "*1\r\n$-1\r\n"},
		{"word too long", "*1\r\n$1025\r\n"},
		{"word without line end", "*1\r\n$4\r\nPINGxx"},
		{"read with too few words", "*2\r\n$6\r\nKV.GET\r\n$1\r\nk\r\n"},
		{"write without a value", "*4\r\n$6\r\nKV.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$1\r\nf\r\n"},
		{"value too long", "*5\r\n$6\r\nKV.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$1\r\nf\r\n$4194305\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, n, err := ParseCommand([]byte(test.text))
			if !errors.Is(err, ErrProtocol) {
				t.Errorf("%q: got error %v, want a protocol error", test.text, err)
			}
			if n != 0 {
				t.Errorf("%q: got %d bytes consumed, want 0", test.text, n)
			}
		})
	}
}

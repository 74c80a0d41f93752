package wire

import (
	"bytes"
	"strconv"
)

// MaxValue is the longest value that is read whole before it is passed on to a client, MaxAnswer the longest that is
// passed on at all, and MaxWrite the longest that a client may write.
const (
	MaxValue  = 64 << 10
	MaxAnswer = 4 << 20
	MaxWrite  = 4 << 20
)

const (
	maxWords = 16
	maxWord  = 1 << 10
)

// Command is what a client asks; its words lie in the buffer that it was parsed from.
type Command struct {
	Name, Key, ID, Facts []byte
	Value                int // length of the value that follows, -1: none
}

// Is tells whether the command has that name, whatever its case.
func (c *Command) Is(name string) bool { return bytes.EqualFold(c.Name, []byte(name)) }

// ParseCommand reads a command from the start of b and returns how many bytes it took. Of a write it takes all
// up to the value, which follows with its line end.
func ParseCommand(b []byte) (c Command, n int, err error) {
	c.Value = -1
	words, n, err := number(b, 0, '*')
	if err != nil {
		return c, 0, err
	}
	if words < 1 || words > maxWords {
		return c, 0, bad("a command of " + strconv.Itoa(words) + " words")
	}
	for i := range words {
		var long int
		if long, n, err = number(b, n, '$'); err != nil {
			return c, 0, err
		}
		if i == 4 && words == 5 && c.Is("KV.SET") {
			if long < 0 || long > MaxWrite {
				return c, 0, bad("a value of " + strconv.Itoa(long) + " bytes")
			}
			c.Value = long
			return c, n, nil
		}
		if long < 0 || long > maxWord {
			return c, 0, bad("a word of " + strconv.Itoa(long) + " bytes")
		}
		if len(b) < n+long+2 {
			return c, 0, ErrShort
		}
		if b[n+long] != '\r' || b[n+long+1] != '\n' {
			return c, 0, bad("a word without its end")
		}
		switch word := b[n : n+long]; i {
		case 0:
			c.Name = word
		case 1:
			c.Key = word
		case 2:
			c.ID = word
		case 3:
			c.Facts = word
		}
		n += long + 2
	}
	if c.Is("KV.SET") || c.Is("KV.GET") && words != 4 {
		return c, 0, bad("a command with too few or too many words")
	}
	return c, n, nil
}

// number reads a mark and a number with its line end, at b[at:].
func number(b []byte, at int, mark byte) (v, next int, err error) {
	if at >= len(b) {
		return 0, 0, ErrShort
	}
	if b[at] != mark {
		return 0, 0, bad("'" + string(mark) + "' expected, not " + strconv.Quote(string(b[at])))
	}
	end := bytes.IndexByte(b[at:], '\n')
	switch {
	case end < 0 && len(b)-at > 16:
		return 0, 0, bad("a number that does not end")
	case end < 0:
		return 0, 0, ErrShort
	}
	v, ok := decimal(b[at+1:], end-2)
	if !ok || b[at+end-1] != '\r' {
		return 0, 0, bad("a mistyped number")
	}
	return v, at + end + 1, nil
}

// decimal reads the first n bytes as a number, which may be negative.
func decimal(b []byte, n int) (int, bool) {
	minus := n > 0 && b[0] == '-'
	if minus {
		b, n = b[1:], n-1
	}
	if n < 1 || n > 9 {
		return 0, false
	}
	v := 0
	for _, c := range b[:n] {
		if c < '0' || c > '9' {
			return 0, false
		}
		v = v*10 + int(c-'0')
	}
	if minus {
		v = -v
	}
	return v, true
}

// AppendCommand writes a try's command up to its value, if it has one, whose length it states.
func AppendCommand(b []byte, name, key, id, facts []byte, value int) []byte {
	words := 4
	if value >= 0 {
		words = 5
	}
	b = append(b, '*', byte('0'+words), '\r', '\n')
	for _, w := range [...][]byte{name, key, id, facts} {
		b = AppendLength(b, '$', len(w))
		b = append(append(b, w...), '\r', '\n')
	}
	if value >= 0 {
		b = AppendLength(b, '$', value)
	}
	return b
}

// AppendPlain writes a command that is no exchange.
func AppendPlain(b []byte, words ...string) []byte {
	b = AppendLength(b, '*', len(words))
	for _, w := range words {
		b = append(append(AppendLength(b, '$', len(w)), w...), '\r', '\n')
	}
	return b
}

// AppendLength writes a mark and a number with its line end.
func AppendLength(b []byte, mark byte, n int) []byte {
	b = strconv.AppendInt(append(b, mark), int64(n), 10)
	return append(b, '\r', '\n')
}

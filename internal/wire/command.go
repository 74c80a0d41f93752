package wire

import (
	"bytes"
	"strconv"
)

const (
	// MaxValue is the longest value, in bytes, that is buffered completely before it is forwarded to a client.
	MaxValue = 64 << 10
	// MaxAnswer is the longest value, in bytes, that is forwarded to a client at all.
	MaxAnswer = 4 << 20
	// MaxWrite is the longest value, in bytes, that a client may write.
	MaxWrite = 4 << 20
)

const (
	maxWords      = 16      // of a command
	maxWordLength = 1 << 10 // in bytes
)

// The words of a command, by their place.
const (
	nameWord = iota
	keyWord
	idWord
	factsWord
	valueWord
)

const (
	readWords  = 4 // words of a KV.GET
	writeWords = 5 // words of a KV.SET, its value included
)

// noValue is the length of the value of a command that has none.
const noValue = -1

const (
	getCommand = "KV.GET"
	setCommand = "KV.SET"
)

// Command is a client's request. Its words are slices of the buffer that it was parsed from.
type Command struct {
	Name, Key, ID, Facts []byte
	Value                int // length in bytes of the value that follows the command; -1: none follows
}

// Is reports whether the command has the given name, regardless of case.
func (c *Command) Is(name string) bool { return bytes.EqualFold(c.Name, []byte(name)) }

// setWord stores one of the words that are used; the others are dropped.
func (c *Command) setWord(place int, word []byte) {
	switch place {
	case nameWord:
		c.Name = word
	case keyWord:
		c.Key = word
	case idWord:
		c.ID = word
	case factsWord:
		c.Facts = word
	}
}

// ParseCommand parses the command at the start of b and returns the number of bytes consumed. A write is consumed up to
// its value, which follows with its line end. The error is ErrShort where b holds a part of the command only, and wraps
// ErrBytes where it is malformed.
func ParseCommand(b []byte) (c Command, n int, err error) {
	c.Value = noValue
	words, n, err := parseLength(b, 0, '*')
	if err != nil {
		return c, 0, err
	}
	if words < 1 || words > maxWords {
		return c, 0, protocolError("a command of " + strconv.Itoa(words) + " words")
	}
	for place := range words {
		length, next, err := parseLength(b, n, '$')
		if err != nil {
			return c, 0, err
		}
		if place == valueWord && words == writeWords && c.Is(setCommand) {
			if length < 0 || length > MaxWrite {
				return c, 0, protocolError("a value of " + strconv.Itoa(length) + " bytes")
			}
			c.Value = length
			return c, next, nil
		}
		word, next, err := parseWord(b, next, length)
		if err != nil {
			return c, 0, err
		}
		c.setWord(place, word)
		n = next
	}
	if c.Is(setCommand) || c.Is(getCommand) && words != readWords {
		return c, 0, protocolError("a command with too few or too many words")
	}
	return c, n, nil
}

// parseWord parses a word of the given length and its line end at b[at:]. It returns the place behind them.
func parseWord(b []byte, at, length int) (word []byte, next int, err error) {
	if length < 0 || length > maxWordLength {
		return nil, 0, protocolError("a word of " + strconv.Itoa(length) + " bytes")
	}
	end := at + length
	if len(b) < end+len(lineEnd) {
		return nil, 0, ErrShort
	}
	if !startsWithLineEnd(b[end:]) {
		return nil, 0, protocolError("a word without its end")
	}
	return b[at:end], end + len(lineEnd), nil
}

// AppendCommand appends the command of an attempt at a cache. A value that follows is not appended, only its length in
// bytes; with a length of -1 the command has no value.
func AppendCommand(b []byte, name, key, id, facts []byte, value int) []byte {
	words := readWords
	if value >= 0 {
		words = writeWords
	}
	b = append(b, '*', byte('0'+words), '\r', '\n')
	for _, word := range [...][]byte{name, key, id, facts} {
		b = AppendLength(b, '$', len(word))
		b = append(append(b, word...), lineEnd...)
	}
	if value >= 0 {
		b = AppendLength(b, '$', value)
	}
	return b
}

// AppendPlain appends a command that is not a client's request, such as PING.
func AppendPlain(b []byte, words ...string) []byte {
	b = AppendLength(b, '*', len(words))
	for _, word := range words {
		b = append(append(AppendLength(b, '$', len(word)), word...), lineEnd...)
	}
	return b
}

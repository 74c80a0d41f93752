package wire

import (
	"bytes"
	"strconv"
)

const (
	// MaxBufferedValue is the longest value, in bytes, that is buffered completely before it is forwarded to a client.
	MaxBufferedValue = 64 << 10
	// MaxResponseValue is the longest value, in bytes, that is forwarded to a client at all.
	MaxResponseValue = 4 << 20
	// MaxRequestValue is the longest value, in bytes, that a client may write.
	MaxRequestValue = 4 << 20
)

// Limits of a command.
const (
	maxArguments      = 16
	maxArgumentLength = 1 << 10 // in bytes
)

// The arguments of a command, by their position.
const (
	nameArgument = iota
	keyArgument
	idArgument
	factsArgument
	valueArgument
)

const (
	readArguments  = 4 // arguments of a KV.GET
	writeArguments = 5 // arguments of a KV.SET, its value included
)

// noValue is the length of the value of a command that has none.
const noValue = -1

const (
	getCommand = "KV.GET"
	setCommand = "KV.SET"
)

// Command is a client's request. Its arguments are slices of the buffer that it was parsed from.
type Command struct {
	Name, Key, ID, Facts []byte
	ValueLength          int // length in bytes of the value that follows the command; -1: none follows
}

// Is reports whether the command has the given name, regardless of case.
func (c *Command) Is(name string) bool { return bytes.EqualFold(c.Name, []byte(name)) }

// setArgument stores one of the arguments that are used; the others are dropped.
func (c *Command) setArgument(position int, argument []byte) {
	switch position {
	case nameArgument:
		c.Name = argument
	case keyArgument:
		c.Key = argument
	case idArgument:
		c.ID = argument
	case factsArgument:
		c.Facts = argument
	}
}

// ParseCommand parses the command at the start of b and returns the number of bytes consumed. A write is consumed up to
// its value, which follows with its line end. The error is [ErrIncomplete] where b holds a part of the command only, and wraps
// [ErrProtocol] where it is malformed.
func ParseCommand(b []byte) (c Command, n int, err error) {
	c.ValueLength = noValue
	count, n, err := parseLength(b, 0, '*')
	if err != nil {
		return c, 0, err
	}
	if count < 1 || count > maxArguments {
		return c, 0, protocolError("a command of " + strconv.Itoa(count) + " words")
	}
	for position := range count {
		length, next, err := parseLength(b, n, '$')
		if err != nil {
			return c, 0, err
		}
		if position == valueArgument && count == writeArguments && c.Is(setCommand) {
			if length < 0 || length > MaxRequestValue {
				return c, 0, protocolError("a value of " + strconv.Itoa(length) + " bytes")
			}
			c.ValueLength = length
			return c, next, nil
		}
		argument, next, err := parseArgument(b, next, length)
		if err != nil {
			return c, 0, err
		}
		c.setArgument(position, argument)
		n = next
	}
	if c.Is(setCommand) || c.Is(getCommand) && count != readArguments {
		return c, 0, protocolError("a command with too few or too many words")
	}
	return c, n, nil
}

// parseArgument parses an argument of the given length and its line end at b[at:]. It returns the position behind them.
func parseArgument(b []byte, at, length int) (argument []byte, next int, err error) {
	if length < 0 || length > maxArgumentLength {
		return nil, 0, protocolError("a word of " + strconv.Itoa(length) + " bytes")
	}
	end := at + length
	if len(b) < end+len(lineEnd) {
		return nil, 0, ErrIncomplete
	}
	if !startsWithLineEnd(b[end:]) {
		return nil, 0, protocolError("a word without its end")
	}
	return b[at:end], end + len(lineEnd), nil
}

// AppendCommand appends the command of an attempt at a cache. A value that follows is not appended, only its length in
// bytes; with a length of -1 the command has no value.
func AppendCommand(b []byte, name, key, id, facts []byte, value int) []byte {
	count := readArguments
	if value >= 0 {
		count = writeArguments
	}
	b = append(b, '*', byte('0'+count), '\r', '\n')
	for _, argument := range [...][]byte{name, key, id, facts} {
		b = AppendLength(b, '$', len(argument))
		b = append(append(b, argument...), lineEnd...)
	}
	if value >= 0 {
		b = AppendLength(b, '$', value)
	}
	return b
}

// AppendPlainCommand appends a command that is not a client's request, such as PING.
func AppendPlainCommand(b []byte, arguments ...string) []byte {
	b = AppendLength(b, '*', len(arguments))
	for _, argument := range arguments {
		b = append(append(AppendLength(b, '$', len(argument)), argument...), lineEnd...)
	}
	return b
}

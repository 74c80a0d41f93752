package wire

import (
	"bytes"
	"strconv"
)

const (
	// MaxBufferedValue is the maximum length in bytes of a value that is buffered completely before it is forwarded to a
	// client.
	MaxBufferedValue = 64 << 10
	// MaxResponseValue is the maximum length in bytes of a value that is forwarded to a client.
	MaxResponseValue = 4 << 20
	// MaxRequestValue is the maximum length in bytes of a value that a client may write.
	MaxRequestValue = 4 << 20
)

// Limits of a command.
const (
	maxArguments      = 16
	maxArgumentLength = 1 << 10 // in bytes
)

// Positions of the arguments of a command.
const (
	nameArgument = iota
	keyArgument
	idArgument
	factsArgument
	valueArgument
)

const (
	readArguments  = 4 // number of arguments of KV.GET, including the name
	writeArguments = 5 // number of arguments of KV.SET, including the name and the value
)

// noValue is the value length of a command without a value.
const noValue = -1

// Names of the proxied commands.
const (
	getCommand = "KV.GET"
	setCommand = "KV.SET"
)

// Command is a client's command. Its arguments are slices of the buffer from which it was parsed.
type Command struct {
	Name, Key, ID, Facts []byte
	ValueLength          int // length in bytes of the value that follows the command; -1: no value
}

// Is reports whether the command has the given name, ignoring case.
func (c *Command) Is(name string) bool { return bytes.EqualFold(c.Name, []byte(name)) }

// setArgument stores the argument at the given position if the proxy uses it.
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
// its value; the value and its line end follow. The error is [ErrIncomplete] if b contains only a part of the command,
// and wraps [ErrProtocol] if the command is malformed.
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
			if length > MaxRequestValue {
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

// parseArgument parses an argument of the given length and its line end at b[at:]. It returns the position after the
// line end. The error is [ErrIncomplete] or wraps [ErrProtocol].
func parseArgument(b []byte, at, length int) (argument []byte, next int, err error) {
	if length > maxArgumentLength {
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

// AppendCommand appends the command for an attempt at a cache. value is the length in bytes of the command's value, or -1
// if it has none. The value itself is not appended; the caller writes it and its line end afterwards.
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

// AppendPlainCommand appends a command that does not forward a client's request, such as PING.
func AppendPlainCommand(b []byte, arguments ...string) []byte {
	b = AppendLength(b, '*', len(arguments))
	for _, argument := range arguments {
		b = append(append(AppendLength(b, '$', len(argument)), argument...), lineEnd...)
	}
	return b
}

package wire

import (
	"bytes"
	"strconv"
	"strings"
)

// Facts holds the entries of a command's facts argument that the proxy uses. The byte slices refer to that argument.
type Facts struct {
	Route, Tenant    []byte // Tenant is nil if the client names none
	WaitMilliseconds int    // time for which the client waits for the reply, in milliseconds
	Retry            bool   // the request is the client's retry of an earlier one
}

// ParseFacts parses a list of facts such as c=read,t=acme,d=480. Unknown names are ignored. The error wraps [ErrProtocol]
// if the list is malformed or lacks the route (c) or the wait (d).
func ParseFacts(list []byte) (f Facts, err error) {
	f.WaitMilliseconds = -1
	for entry := range bytes.SplitSeq(list, []byte(",")) {
		name, value, ok := bytes.Cut(entry, []byte("="))
		if !ok {
			return f, protocolError("a fact without a value")
		}
		switch string(name) {
		case "c":
			f.Route = value
		case "t":
			f.Tenant = value
		case "r":
			f.Retry = string(value) == "1"
		case "d":
			if f.WaitMilliseconds, ok = parseWait(value); !ok {
				return f, protocolError("a malformed d")
			}
		}
	}
	if f.Route == nil || f.WaitMilliseconds < 0 {
		return f, protocolError("facts without c or d")
	}
	return f, nil
}

// parseWait parses a number of milliseconds, which may have a fraction, and rounds it down.
func parseWait(text []byte) (milliseconds int, ok bool) {
	whole, fraction, hasFraction := bytes.Cut(text, []byte("."))
	if hasFraction && (len(fraction) == 0 || bytes.ContainsFunc(fraction, isNoDigit)) {
		return 0, false
	}
	return parseDecimal(whole)
}

// isNoDigit reports whether a character is not a decimal digit.
func isNoDigit(char rune) bool { return char < '0' || char > '9' }

// CheckPrintable returns an error that wraps [ErrProtocol] if any of the texts contains a control character. Control
// characters would allow a client to inject HTTP headers into requests to the origin.
func CheckPrintable(texts ...[]byte) error {
	for _, text := range texts {
		for _, char := range text {
			if char < ' ' || char == 0x7f {
				return protocolError("a word with control characters")
			}
		}
	}
	return nil
}

// AppendFacts appends a list of facts as it was received, except that the value of d is replaced by wait, the time for
// which this proxy waits, in milliseconds.
func AppendFacts(b []byte, list []byte, wait int) []byte {
	for rest, more := string(list), true; more; {
		var entry string
		entry, rest, more = strings.Cut(rest, ",")
		if strings.HasPrefix(entry, "d=") {
			b = strconv.AppendInt(append(b, "d="...), int64(wait), 10)
		} else {
			b = append(b, entry...)
		}
		if more {
			b = append(b, ',')
		}
	}
	return b
}

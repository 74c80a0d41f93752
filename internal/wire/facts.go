package wire

import (
	"bytes"
	"strconv"
	"strings"
)

// Facts are the entries of a command's list of facts that the proxy uses. The values are slices of that list.
type Facts struct {
	Route, Tenant    []byte // Tenant is nil where the client gives none
	WaitMilliseconds int    // how long the client waits for the response, in milliseconds
	Retry            bool   // the client retries an earlier request
}

// ParseFacts parses a list such as c=read,t=acme,d=480. Unknown names are skipped. The error wraps [ErrProtocol] where the
// list is malformed, or lacks the route or the wait.
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
			milliseconds, _, _ := bytes.Cut(value, []byte(".")) // rounded down
			if f.WaitMilliseconds, ok = parseDecimal(milliseconds); !ok || f.WaitMilliseconds < 0 {
				return f, protocolError("a mistyped d")
			}
		}
	}
	if f.Route == nil || f.WaitMilliseconds < 0 {
		return f, protocolError("no c or no d among the facts")
	}
	return f, nil
}

// CheckPrintable returns an error that wraps [ErrProtocol] where a text holds control characters, with which it could forge HTTP
// headers.
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

// AppendFacts appends a list of facts as it was received, except that d becomes how long this proxy waits, in
// milliseconds.
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

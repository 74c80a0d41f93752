package wire

import (
	"bytes"
	"strconv"
	"strings"
)

// Facts is what this proxy reads of a command's list of names and values; the words lie where they lay.
type Facts struct {
	Route, Tenant []byte
	Wait          int // how long the client waits, in milliseconds
	Repeat        bool
}

// ParseFacts reads a list such as c=read,t=acme,d=480. Names that it does not know are skipped.
func ParseFacts(list []byte) (f Facts, err error) {
	f.Wait = -1
	for part := range bytes.SplitSeq(list, []byte(",")) {
		name, value, ok := bytes.Cut(part, []byte("="))
		if !ok {
			return f, bad("a fact without a value")
		}
		switch string(name) {
		case "c":
			f.Route = value
		case "t":
			f.Tenant = value
		case "r":
			f.Repeat = string(value) == "1"
		case "d":
			whole, _, _ := bytes.Cut(value, []byte(".")) // a part of a millisecond counts for nothing
			if f.Wait, ok = decimal(whole, len(whole)); !ok || f.Wait < 0 {
				return f, bad("a mistyped d")
			}
		}
	}
	if f.Route == nil || f.Wait < 0 {
		return f, bad("no c or no d among the facts")
	}
	return f, nil
}

// Plain finds fault with words that hold anything but printable characters.
func Plain(words ...[]byte) error {
	for _, w := range words {
		for _, c := range w {
			if c < ' ' || c == 0x7f {
				return bad("a word with control characters")
			}
		}
	}
	return nil
}

// AppendFacts writes a list as it came, but for d, which tells how long this proxy waits.
func AppendFacts(b []byte, list []byte, wait int) []byte {
	for rest := string(list); ; b = append(b, ',') {
		part, more, on := strings.Cut(rest, ",")
		if strings.HasPrefix(part, "d=") {
			b = strconv.AppendInt(append(b, "d="...), int64(wait), 10)
		} else {
			b = append(b, part...)
		}
		if !on {
			return b
		}
		rest = more
	}
}

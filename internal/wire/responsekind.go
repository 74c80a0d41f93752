package wire

import "bytes"

// ResponseKind is the kind of a response, judged by its first bytes.
type ResponseKind uint8

// Kinds of responses.
const (
	KindUnreadable ResponseKind = iota // no response, or not enough of it to tell
	KindValue
	KindMiss     // the cache does not hold the key, or the origin does not have it
	KindRejected // the server states that it did not process the request
	KindFailed   // another error
)

var responseKindNames = [...]string{"unreadable", "value", "miss", "rejected", "failed"}

// String returns the kind's name in logs.
func (k ResponseKind) String() string { return responseKindNames[int(k)%len(responseKindNames)] }

// ClassifyResponse returns the kind of a response of a cache or of the origin from its first bytes. It serves logs only: a
// response that is cut off or malformed may be classified wrongly.
func ClassifyResponse(prefix []byte, isOrigin bool) ResponseKind {
	if isOrigin {
		return classifyOriginResponse(prefix)
	}
	line, rest, _ := bytes.Cut(prefix, []byte(lineEnd))
	switch {
	case bytes.HasPrefix(line, []byte("-BUSY")):
		return KindRejected
	case bytes.HasPrefix(line, []byte("-")):
		return KindFailed
	case bytes.HasPrefix(line, []byte("*")) && bytes.HasPrefix(rest, []byte("$-1")):
		return KindMiss
	case bytes.HasPrefix(line, []byte("*")):
		return KindValue
	}
	return KindUnreadable
}

func classifyOriginResponse(prefix []byte) ResponseKind {
	head, err := parseStatusLine(prefix)
	switch {
	case err != nil:
		return KindUnreadable
	case head.status == 200:
		return KindValue
	case head.status == 404:
		return KindMiss
	case bytes.Contains(prefix, []byte("\r\nX-Unprocessed: 1")):
		return KindRejected
	}
	return KindFailed
}

package wire

import (
	"bufio"
	"bytes"
	"unicode/utf8"

	"woodproxy/balancer"
)

// responseElements is the number of elements in the array of a cache's response: the value, how the read went and the load
// report.
const responseElements = 3

// ReadCacheResponse reads the response of a cache to one attempt up to its value. Only a response whose outcome is
// [balancer.Completed] has a value and elements after it. Errors are of type [*AttemptError].
func ReadCacheResponse(r *bufio.Reader) (Response, error) { return readResponse(r, parseCacheResponse) }

// parseCacheResponse parses a response up to its value.
func parseCacheResponse(r *bufio.Reader) (Response, error) {
	line, err := readLine(r)
	if err != nil {
		return Response{}, err
	}
	switch line[0] {
	case '-':
		return parseCacheError(line)
	case '*':
		return readCacheArray(r, line)
	}
	return Response{}, protocolError("a response that is not an array")
}

// parseCacheError maps an error response to an outcome.
func parseCacheError(line []byte) (Response, error) {
	switch {
	case CheckPrintable(line) != nil || !utf8.Valid(line):
		return Response{}, protocolError("an error that is no text: " + quotePrefix(line))
	case isRejection(line):
		return Response{Outcome: balancer.Overloaded, Reusable: true}, nil
	case bytes.HasPrefix(line, []byte("-SYNTAX")):
		return Response{}, protocolError("our command is not understood")
	}
	return Response{Outcome: balancer.ServerError, Reusable: true}, nil
}

// isRejection reports whether an error response states that the request was not executed: "-BUSY", alone or with a number of
// milliseconds. An error that merely begins so states nothing.
func isRejection(line []byte) bool {
	rest, busy := bytes.CutPrefix(line, []byte("-BUSY"))
	if !busy || len(rest) == 0 {
		return busy
	}
	_, isNumber := parseDecimal(rest[1:])
	return rest[0] == ' ' && isNumber
}

// readCacheArray parses the line that opens the array and reads the first line of the value, which is the first element and
// must be a bulk string. If it is null, the response is a cache miss and is read completely.
func readCacheArray(r *bufio.Reader, line []byte) (Response, error) {
	elements, ok := parseDecimal(line[1:])
	if !ok || elements != responseElements {
		return Response{}, protocolError("an array that has not three elements: " + quotePrefix(line))
	}
	length, err := readBulkLength(r, MaxResponseValue)
	if err != nil {
		return Response{}, err
	}
	resp := Response{Outcome: balancer.Completed, ValueLength: length, Reusable: true, trailing: true, bulk: true}
	if length == nullLength {
		resp.Outcome, resp.ValueLength = balancer.CacheMiss, 0
		return resp, resp.SkipTrailing(r)
	}
	return resp, nil
}

package wire

import (
	"bufio"
	"bytes"

	"woodproxy/balancer"
)

// maxElements is how many elements the array of a cache's response may have, the value included.
const maxElements = 8

// ReadCacheResponse reads the response of a cache to one attempt up to its value. Only a completed one has a value and
// elements behind it. Errors are of type [*AttemptError].
func ReadCacheResponse(r *bufio.Reader) (Response, error) { return readResponse(r, parseCacheResponse) }

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
	return Response{}, protocolError("an answer that is no array")
}

// parseCacheError maps an error response to an outcome.
func parseCacheError(line []byte) (Response, error) {
	switch {
	case bytes.Equal(line, []byte("-BUSY")), bytes.HasPrefix(line, []byte("-BUSY ")):
		return Response{Outcome: balancer.Overloaded, Reusable: true}, nil
	case bytes.HasPrefix(line, []byte("-SYNTAX")):
		return Response{}, protocolError("our command is not understood")
	}
	return Response{Outcome: balancer.ServerError, Reusable: true}, nil
}

// readCacheArray reads the opening of the value, which is the first element; a null one is a cache miss.
func readCacheArray(r *bufio.Reader, line []byte) (Response, error) {
	elements, ok := parseDecimal(line[1:])
	if !ok || elements < 1 || elements > maxElements {
		return Response{}, protocolError("an array of odd length")
	}
	length, err := readElementLength(r, MaxResponseValue)
	if err != nil {
		return Response{}, err
	}
	a := Response{Outcome: balancer.Completed, ValueLength: length, Reusable: true, trailing: elements - 1, bulk: true}
	switch {
	case length == simpleElement:
		a.body = []byte{}
	case length < 0:
		a.Outcome, a.ValueLength = balancer.CacheMiss, 0
		return a, a.SkipTrailing(r)
	}
	return a, nil
}

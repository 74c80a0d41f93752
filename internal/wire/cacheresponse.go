package wire

import (
	"bufio"
	"bytes"

	"woodproxy/balancer"
)

// maxElements is how many elements the array of a cache's response may have, the value included.
const maxElements = 8

// ReadAnswer reads the response of a cache to one attempt up to its value. Only a completed one has a value and
// elements behind it. Errors are of type [*Halt].
func ReadAnswer(r *bufio.Reader) (Answer, error) { return readResponse(r, parseCacheResponse) }

func parseCacheResponse(r *bufio.Reader) (Answer, error) {
	line, err := readLine(r)
	if err != nil {
		return Answer{}, err
	}
	switch line[0] {
	case '-':
		return parseCacheError(line)
	case '*':
		return readCacheArray(r, line)
	}
	return Answer{}, protocolError("an answer that is no array")
}

// parseCacheError maps an error response to an outcome.
func parseCacheError(line []byte) (Answer, error) {
	switch {
	case bytes.Equal(line, []byte("-BUSY")), bytes.HasPrefix(line, []byte("-BUSY ")):
		return Answer{Ending: balancer.NoRoom, Again: true}, nil
	case bytes.HasPrefix(line, []byte("-SYNTAX")):
		return Answer{}, protocolError("our command is not understood")
	}
	return Answer{Ending: balancer.Fault, Again: true}, nil
}

// readCacheArray reads the opening of the value, which is the first element; a null one is a cache miss.
func readCacheArray(r *bufio.Reader, line []byte) (Answer, error) {
	elements, ok := parseDecimal(line[1:])
	if !ok || elements < 1 || elements > maxElements {
		return Answer{}, protocolError("an array of odd length")
	}
	length, err := readElementLength(r, MaxAnswer)
	if err != nil {
		return Answer{}, err
	}
	a := Answer{Ending: balancer.Completed, Long: length, Again: true, trailing: elements - 1, bulk: true}
	switch {
	case length == simpleElement:
		a.body = []byte{}
	case length < 0:
		a.Ending, a.Long = balancer.Lacking, 0
		return a, a.Tail(r)
	}
	return a, nil
}

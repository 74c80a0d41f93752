package wire

import (
	"bufio"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/iotest"

	"woodproxy/balancer"
)

// completeResponse is a response of a cache or of the origin and the expected result of reading it.
type completeResponse struct {
	name, text string
	outcome    balancer.Outcome
	value      string
	reusable   bool
}

var completeResponses = []completeResponse{
	{"cache: hit with load report", "*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$7\r\nqueue=3\r\n", balancer.Completed, "value", true},
	{"cache: empty value", "*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n", balancer.Completed, "", true},
	{"cache: miss", "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n", balancer.CacheMiss, "", true},
	{"cache: value with load report that cannot be read", "*3\r\n$1\r\nv\r\n$3\r\nhit\r\n:7\r\n", balancer.Completed, "v", true},
	{"cache: value alone, nulls", "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n", balancer.Completed, "v", true},
	{"cache: overloaded", "-BUSY\r\n", balancer.Overloaded, "", true},
	{"cache: overloaded, with a wait", "-BUSY 250\r\n", balancer.Overloaded, "", true},
	{"cache: overloaded and other words", "-BUSY too many connections\r\n", balancer.ServerError, "", true},
	{"cache: overloaded and a malformed wait", "-BUSY 25x\r\n", balancer.ServerError, "", true},
	{"cache: overloaded and no wait", "-BUSY \r\n", balancer.ServerError, "", true},
	{"cache: error that begins like overloaded", "-BUSYBODY\r\n", balancer.ServerError, "", true},
	{"cache: error", "-ERR failed\r\n", balancer.ServerError, "", true},
	{
		"origin: length announced",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Backend-Load: q=1\r\n\r\nvalue", balancer.Completed, "value", true,
	},
	{
		"origin: chunked",
		"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n3\r\nval\r\n2;x=1\r\nue\r\n0\r\nT: 1\r\n\r\n",
		balancer.Completed, "value", true,
	},
	{
		"origin: interim response first",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
		balancer.Completed, "", false,
	},
	{"origin: ended by the connection", "HTTP/1.0 200 OK\r\n\r\nvalue", balancer.Completed, "value", false},
	{
		"origin: 503 unprocessed",
		"HTTP/1.1 503 No\r\nx-unprocessed: 1\r\nContent-Length: 2\r\n\r\nno", balancer.Overloaded, "", true,
	},
	{
		"origin: 504 unprocessed",
		"HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", balancer.Overloaded, "", true,
	},
	{"origin: 503 processed", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", balancer.ServerError, "", true},
	{
		"origin: 500 is a fault even if unprocessed",
		"HTTP/1.1 500 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", balancer.ServerError, "", true,
	},
}

func TestCompleteResponses(t *testing.T) {
	for _, test := range completeResponses {
		t.Run(test.name, func(t *testing.T) {
			outcome, value, reusable, err := readAnyResponse(test.text)
			if err != nil || outcome != test.outcome || outcome == balancer.Completed && string(value) != test.value ||
				reusable != test.reusable {
				t.Errorf("%q: got outcome %d, value %q, reusable %v, error %v, want the result of the test case",
					test.text, outcome, value, reusable, err)
			}
			checkTruncated(t, test.text)
		})
	}
}

// checkTruncated checks that a response truncated at any byte is an error in the stage Waiting or Reading, and never a
// shorter response.
func checkTruncated(t *testing.T, text string) {
	t.Helper()
	for n := range len(text) {
		if strings.HasPrefix(text, "HTTP/1.0") && n >= strings.Index(text, "value") {
			break // the body ends with the connection
		}
		_, _, _, err := readAnyResponse(text[:n])
		var attemptError *AttemptError
		if !errors.As(err, &attemptError) || !attemptError.MayHaveRun() || (n == 0) != (attemptError.Progress == Waiting) ||
			errors.Is(err, ErrProtocol) {
			t.Errorf("%q: got error %v, want an AttemptError in the stage Waiting or Reading", text[:n], err)
		}
	}
}

// readAnyResponse reads a response and its value byte by byte. A text that begins with H is a response of the origin, any
// other one a response of a cache.
func readAnyResponse(text string) (outcome balancer.Outcome, value []byte, reusable bool, err error) {
	r := bufio.NewReader(iotest.OneByteReader(strings.NewReader(text)))
	read := ReadCacheResponse
	if strings.HasPrefix(text, "H") {
		read = ReadOriginResponse
	}
	a, err := read(r)
	if err != nil || a.Outcome != balancer.Completed {
		return a.Outcome, nil, a.Reusable, err
	}
	value, err = a.ReadValue(r)
	if err == nil {
		err = a.SkipTrailing(r)
	}
	return a.Outcome, value, a.Reusable, err
}

// Values longer than MaxBufferedValue are read completely.
func TestLongValuesAreRead(t *testing.T) {
	long := strings.Repeat("v", 6*MaxBufferedValue)
	for _, test := range []struct{ name, text string }{
		{"cache", fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(long), long)},
		{"origin, length announced", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long)},
		{"origin, length unknown", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + long},
	} {
		t.Run(test.name, func(t *testing.T) {
			outcome, value, _, err := readAnyResponse(test.text)
			if outcome != balancer.Completed || string(value) != long || err != nil {
				t.Errorf("%.40q: got outcome %d, %d bytes, error %v, want the complete value", test.text, outcome, len(value), err)
			}
		})
	}
}

func TestMalformedResponses(t *testing.T) {
	for _, test := range []struct{ name, text string }{
		{"cache: simple string", "+OK\r\n"},
		{"cache: empty line", "\r\n\r\n"},
		{"cache: empty array", "*0\r\n"},
		{"cache: array too long", "*9\r\n"},
		{"cache: value without further elements", "*1\r\n$1\r\nv\r\n"},
		{"cache: value with one further element", "*2\r\n$1\r\nv\r\n$3\r\nhit\r\n"},
		{"cache: value with three further elements", "*4\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n$-1\r\n"},
		{"cache: miss without further elements", "*1\r\n$-1\r\n"},
		{"cache: simple string behind the value", "*3\r\n$1\r\nv\r\n+hit\r\n$-1\r\n"},
		{"cache: integer behind a miss", "*3\r\n$-1\r\n:1\r\n$-1\r\n"},
		{"cache: error as the load report", "*3\r\n$1\r\nv\r\n$3\r\nhit\r\n-ERR\r\n"},
		{"cache: letter in a length", "*x\r\n"},
		{"cache: value too long", "*3\r\n$4194305\r\n"},
		{"cache: value without line end", "*3\r\n$1\r\nvxx"},
		{"cache: nested array", "*3\r\n*1\r\n"},
		{"cache: simple string as the value", "*3\r\n+OK\r\n$3\r\nhit\r\n$-1\r\n"},
		{"cache: integer as the value", "*3\r\n:7\r\n$3\r\nhit\r\n$-1\r\n"},
		{"cache: length with a sign", "*3\r\n$-0\r\n\r\n$3\r\nhit\r\n$-1\r\n"},
		{"cache: null with another length than -1", "*3\r\n$-01\r\n$4\r\nmiss\r\n$-1\r\n"},
		{"cache: error as the value", "*3\r\n-ERR\r\n$3\r\nhit\r\n$-1\r\n"},
		{"cache: noise behind overloaded", "-BUSY \x07~\x07~\r\n"},
		{"cache: noise as an error", "-\x07~\x07~\r\n"},
		{"cache: error that is not UTF-8", "-ERR \xff\xfe\r\n"},
		{"cache: syntax error in the command", "-SYNTAX what\r\n"},
		{"cache: line longer than the read buffer", "*" + strings.Repeat("1", 5000)},
		{"origin: HTTP/2", "HTTP/2 200 OK\r\n\r\n"},
		{"origin: letter in the status", "HTTP/1.1 2x0 OK\r\n\r\n"},
		{"origin: header without colon", "HTTP/1.1 200 OK\r\nno colon\r\n\r\n"},
		{"origin: letter in Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 5x\r\n\r\n"},
		{"origin: negative Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n"},
		{"origin: two Content-Lengths", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n"},
		{"origin: value too long", "HTTP/1.1 200 OK\r\nContent-Length: 4194305\r\n\r\n"},
		{"origin: other transfer encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n"},
		{"origin: letter in a chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n"},
		{"origin: chunk without line end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nvxx\r\n"},
		{"origin: head too long", "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 4000)},
		{"origin: body of unknown length too long", "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("v", maxUnknownLength+1)},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, _, _, err := readAnyResponse(test.text); !errors.Is(err, ErrProtocol) {
				t.Errorf("%.40q: got error %v, want a protocol error", test.text, err)
			}
		})
	}
}

package wire

import (
	"errors"
	"testing"

	"woodproxy/balancer"
)

// framingCases are responses of the origin whose head says in an unusual way where the response ends, or whether the
// connection stays open.
var framingCases = []completeResponse{
	{"connection options in one line", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: X-Custom, Close\r\n\r\nv", balancer.Completed, "v", false},
	{
		"close is not undone by a later line",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\nConnection: keep-alive\r\n\r\nv", balancer.Completed, "v", false,
	},
	{"keep-alive and close together", "HTTP/1.0 200 OK\r\nContent-Length: 1\r\nConnection: keep-alive, close\r\n\r\nv", balancer.Completed, "v", false},
	{"HTTP/1.0 with keep-alive", "HTTP/1.0 200 OK\r\nContent-Length: 1\r\nConnection: te, Keep-Alive\r\n\r\nv", balancer.Completed, "v", true},
	{"HTTP/1.0 without keep-alive", "HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nv", balancer.Completed, "v", false},
	{
		"length beside a transfer encoding",
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nv\r\n0\r\n\r\n", balancer.Completed, "v", false,
	},
	{
		"transfer encoding of HTTP/1.0",
		"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nv\r\n0\r\n\r\n", balancer.Completed, "v", false,
	},
	{"204 with a length", "HTTP/1.1 204 No\r\nContent-Length: 5\r\n\r\n", balancer.ServerError, "", false},
	{"304 with a transfer encoding", "HTTP/1.1 304 No\r\nTransfer-Encoding: chunked\r\n\r\n", balancer.ServerError, "", false},
	{"204 without a body", "HTTP/1.1 204 No\r\n\r\n", balancer.ServerError, "", true},
	{"space before the colon", "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\nv", balancer.Completed, "v", true},
	{"load report that cannot be read", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nX-Backend-Load: \x07~\xff\r\n\r\nv", balancer.Completed, "v", true},
	{"lines that end in LF alone", "HTTP/1.1 200 OK\nContent-Length: 1\n\nv", balancer.Completed, "v", true},
	{"folded line is no header", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nX-Long: a\r\n Connection: close\r\n\r\nv", balancer.Completed, "v", true},
}

// Guards against a connection that is used again although the server may still send bytes of its response, or closes it.
func TestHTTPFraming(t *testing.T) {
	for _, test := range framingCases {
		t.Run(test.name, func(t *testing.T) {
			outcome, value, reusable, err := readAnyResponse(test.text)
			if err != nil || outcome != test.outcome || string(value) != test.value || reusable != test.reusable {
				t.Errorf("got outcome %d, value %q, reusable %v, error %v, want %d, %q, %v", outcome, value, reusable, err, test.outcome, test.value, test.reusable)
			}
		})
	}
}

// A head from which the end of the response can't be told is a protocol error.
func TestUnclearHTTPFraming(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nvv",
		"HTTP/1.1 200 OK\r\nContent-Length: 1, 1\r\n\r\nv",
		"HTTP/1.1 200 OK\r\nContent-Length: -0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: +1\r\n\r\nv",
		"HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\n",
		"HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 \r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\nv\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0x1\r\nv\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nvv\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\nv\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nv\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nv\r\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n 1\r\nv\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nv\r\n0\r\n\x07~\x07~\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nv\r\n0\r\nT\x07: 1\r\n\r\n",
		"HTTP/1.x 200 OK\r\nContent-Length: 1\r\n\r\nv",
		"HTTP/1.1 200 \x07~\x07~\r\nContent-Length: 1\r\n\r\nv",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\x07~: 1\r\n\r\nv",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n: 1\r\n\r\nv",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\ntwo words: 1\r\n\r\nv",
	} {
		if outcome, value, reusable, err := readAnyResponse(text); !errors.Is(err, ErrProtocol) {
			t.Errorf("%q: got outcome %d, value %q, reusable %v, error %v, want a protocol error", text, outcome, value, reusable, err)
		}
	}
}

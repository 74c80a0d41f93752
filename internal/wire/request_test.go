package wire

import "testing"

func TestAttemptRequestBytes(t *testing.T) {
	b := AppendCommand(nil, []byte("KV.SET"), []byte("k"), []byte("id"), []byte("c=put"), 3)
	if string(b) != "*5\r\n$6\r\nKV.SET\r\n$1\r\nk\r\n$2\r\nid\r\n$5\r\nc=put\r\n$3\r\n" {
		t.Errorf("got %q, want KV.SET with key k, ID id, facts c=put and value length 3", b)
	}
	b = AppendOriginRequest(nil, "h:1", []byte("a/\r\n"), []byte("id"), []byte("c=put,d=5"), 3)
	if string(b) != "PUT /a%2F%0D%0A HTTP/1.1\r\nHost: h:1\r\nX-Correlation-Id: id\r\nX-Facts: c=put,d=5\r\n"+
		"Content-Length: 3\r\n\r\n" {
		t.Errorf("got %q, want PUT with the escaped key, ID id, facts c=put,d=5 and Content-Length 3", b)
	}
}

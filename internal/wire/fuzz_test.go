package wire

import "testing"

// FuzzBytes checks for any input that no parser panics or consumes more than it was given, and that a parsed command and
// its facts can be parsed again after they were encoded for forwarding.
func FuzzBytes(f *testing.F) {
	f.Add("*4\r\n$6\r\nKV.GET\r\n$1\r\nk\r\n$1\r\ni\r\n$7\r\nc=x,d=5\r\n")
	f.Add("*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n")
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nv\r\n0\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\n:\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		c, n, err := ParseCommand([]byte(text))
		if err == nil && (n < 1 || n > len(text)) {
			t.Errorf("%q: got %d bytes consumed, want at least 1 and at most all", text, n)
		}
		if err == nil && c.Is("KV.GET") {
			forwarded := AppendCommand(nil, c.Name, c.Key, c.ID, c.Facts, -1)
			parsed, _, err := ParseCommand(forwarded)
			if err != nil || string(parsed.Facts) != string(c.Facts) || string(parsed.Key) != string(c.Key) {
				t.Errorf("%q: got an error, another key or other facts from the forwarded %q, want the same", text, forwarded)
			}
		}
		if _, err := ParseFacts(c.Facts); err == nil {
			if _, err := ParseFacts(AppendFacts(nil, c.Facts, 7)); err != nil {
				t.Errorf("%q: got error %v from the forwarded facts, want none", c.Facts, err)
			}
		}
		_, _, _, _ = readAnyResponse(text) // any outcome is valid; the call must only return
	})
}

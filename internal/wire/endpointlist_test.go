package wire

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func TestReadEndpointList(t *testing.T) {
	parse := func(text string) (*EndpointList, error) { return ReadEndpointList(strings.NewReader(text)) }
	read, err := parse(`{"index":41,"snapshot":true,"new":1,"endpoints":[{"name":"c1","address":"h:1",
"zone":"a","type":"m2","group":3,"status":"active","weight":1.5,"since_ms":7},{"name":"c2","status":"left","group":null}]}`)
	if err != nil {
		t.Fatal(err)
	}
	if list := read.Endpoints; read.Index != 41 || !read.Complete || len(list) != 2 || list[1].Ready ||
		list[0] != (Endpoint{Name: "c1", Address: "h:1", Zone: "a", Kind: "m2", Cell: 3, Ready: true, Weight: 1.5, StartedAtUnixMilli: 7}) {
		t.Errorf("got %+v, want a complete list with index 41 and the two endpoints", read)
	}
	for _, test := range []struct{ name, text string }{
		{"not an object", `[]`},
		{"empty object", `{}`},
		{"index mistyped", `{"index":"1","endpoints":[]}`},
		{"no endpoints", `{"index":1}`},
		{"endpoint without a name", `{"index":1,"endpoints":[{}]}`},
		{"unknown status", `{"index":1,"endpoints":[{"name":"c","status":"odd"}]}`},
		{"null", `null`},
		{"invalid JSON", `{"index":1,"endpoints":[}`},
		{"an object after the first", `{"index":1,"endpoints":[]}{}`},
		{"truncated", `{"index":1,"endpoints":[`},
		{"active without an address", `{"index":1,"endpoints":[{"name":"c","status":"active"}]}`},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, err := parse(test.text); !errors.Is(err, ErrProtocol) {
				t.Errorf("%s: got error %v, want a protocol error", test.text, err)
			}
		})
	}
}

// listText returns a complete list of endpoints in discovery's format.
func listText(endpoints int) string {
	entries := make([]string, endpoints)
	for i := range entries {
		entries[i] = fmt.Sprintf(`{"name":"s-%08x","address":"10.1.%d.%d:6379","zone":"a","type":"m2","group":3,"status":"active","weight":1.0,"since_ms":0}`,
			i, i/250, i%250)
	}
	return fmt.Sprintf(`{"index":41,"snapshot":true,"endpoints":[%s]}`, strings.Join(entries, ","))
}

func BenchmarkReadEndpointList(b *testing.B) {
	for _, endpoints := range []int{1, 200, 3200, 12800} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			text := listText(endpoints)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := ReadEndpointList(strings.NewReader(text)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

package wire

import (
	"errors"
	"testing"

	"github.com/valyala/fastjson"
)

func TestParseEndpointList(t *testing.T) {
	parse := func(text string) (int64, bool, []Endpoint, error) { return ParseEndpointList(fastjson.MustParse(text)) }
	index, complete, list, err := parse(`{"index":41,"snapshot":true,"new":1,"endpoints":[{"name":"c1","address":"h:1",
"zone":"a","type":"m2","group":3,"status":"active","weight":1.5,"since_ms":7},{"name":"c2","status":"left","group":null}]}`)
	if err != nil || index != 41 || !complete || len(list) != 2 || list[1].Ready ||
		list[0] != (Endpoint{Name: "c1", Address: "h:1", Zone: "a", Kind: "m2", Cell: 3, Ready: true, Weight: 1.5, StartedAtUnixMilli: 7}) {
		t.Errorf("%d %v %v: %v", index, complete, list, err)
	}
	for _, test := range []struct{ name, text string }{
		{"no object", `[]`},
		{"empty object", `{}`},
		{"index mistyped", `{"index":"1","endpoints":[]}`},
		{"no endpoints", `{"index":1}`},
		{"endpoint without a name", `{"index":1,"endpoints":[{}]}`},
		{"unknown status", `{"index":1,"endpoints":[{"name":"c","status":"odd"}]}`},
		{"active without an address", `{"index":1,"endpoints":[{"name":"c","status":"active"}]}`},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, _, _, err := parse(test.text); !errors.Is(err, ErrProtocol) {
				t.Errorf("%s: %v", test.text, err)
			}
		})
	}
}

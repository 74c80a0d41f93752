package wire

import (
	"errors"
	"testing"
)

// The facts are forwarded unchanged, except that d is replaced by the time for which the proxy waits.
func TestFactsAreParsedAndForwarded(t *testing.T) {
	const list = "c=put,t=acme,d=480,size=9,k=5c0f,r=1"
	f, err := ParseFacts([]byte(list))
	if err != nil || string(f.Route) != "put" || string(f.Tenant) != "acme" || f.WaitMilliseconds != 480 || !f.Retry {
		t.Errorf("got %+v, error %v, want route put, tenant acme, a wait of 480 ms and a retry", f, err)
	}
	if got := string(AppendFacts(nil, []byte(list), 77)); got != "c=put,t=acme,d=77,size=9,k=5c0f,r=1" {
		t.Error(got)
	}
	if f, err := ParseFacts([]byte("d=12.75,c=x")); err != nil || f.WaitMilliseconds != 12 {
		t.Errorf("got %+v, error %v, want a wait of 12 ms", f, err)
	}
	if f, err := ParseFacts([]byte("d=480.123456789012,c=x")); err != nil || f.WaitMilliseconds != 480 {
		t.Errorf("got %+v, error %v, want a wait of 480 ms", f, err)
	}
	for _, test := range []struct{ name, list string }{
		{"empty list", ""},
		{"no wait", "c=x"},
		{"no route", "d=5"},
		{"empty wait", "c=x,d="},
		{"negative wait", "c=x,d=-5"},
		{"negative zero", "c=x,d=-0"},
		{"negative fraction", "c=x,d=-0.5"},
		{"letter in the wait", "c=x,d=5x"},
		{"letter behind the point", "c=x,d=480.x"},
		{"nothing behind the point", "c=x,d=480."},
		{"two points", "c=x,d=480.5.5"},
		{"exponent", "c=x,d=4.8e2"},
		{"fact without a value", "c=x,d=5,odd"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, err := ParseFacts([]byte(test.list)); !errors.Is(err, ErrProtocol) {
				t.Errorf("%q: got error %v, want a protocol error", test.list, err)
			}
		})
	}
}

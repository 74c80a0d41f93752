package admin

import (
	"net/url"
	"testing"
)

func TestParseEpochAcceptsNumberOrAbsence(t *testing.T) {
	for _, c := range []struct {
		name, query string
		want        int64
		message     string // empty: no error
	}{
		{name: "absent", query: "", want: anyEpoch},
		{name: "empty", query: "epoch=", want: anyEpoch},
		{name: "zero", query: "epoch=0", want: 0},
		{name: "number", query: "epoch=17", want: 17},
		{name: "negative", query: "epoch=-1", message: `epoch: "-1": not a valid epoch`},
		{name: "not a number", query: "epoch=x", message: `epoch: "x": not a valid epoch`},
		{name: "too large", query: "epoch=9223372036854775808", message: `epoch: "9223372036854775808": not a valid epoch`},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := parseEpoch(parseQuery(t, c.query))
			if got != c.want || errorText(err) != c.message {
				t.Errorf("epoch %d and error %q, want %d and %q", got, errorText(err), c.want, c.message)
			}
		})
	}
}

func TestParseForceAcceptsOnlyForcePhrase(t *testing.T) {
	for _, c := range []struct {
		name, query string
		want        bool
		message     string // empty: no error
	}{
		{name: "absent", query: ""},
		{name: "empty", query: "force="},
		{name: "phrase", query: "force=leave+no+zone", want: true},
		{name: "another value", query: "force=true", message: `force: "true": not the phrase "leave no zone"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := parseForce(parseQuery(t, c.query))
			if got != c.want || errorText(err) != c.message {
				t.Errorf("force %v and error %q, want %v and %q", got, errorText(err), c.want, c.message)
			}
		})
	}
}

// parseQuery parses a URL query and fails the test if it is malformed.
func parseQuery(t *testing.T, query string) url.Values {
	t.Helper()
	values, err := url.ParseQuery(query)
	if err != nil {
		t.Fatal(err)
	}
	return values
}

// errorText returns the text of err, or "" if err is nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

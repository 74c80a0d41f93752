package configfile

import (
	"errors"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// exampleFile is a configuration file with a number, a string and a table.
type exampleFile struct {
	Entries int    `toml:"entries"`
	Name    string `toml:"name"`
	Peer    struct {
		Port int `toml:"port"`
	} `toml:"peer"`
}

func TestDecodeTOMLFillsFieldsAndKeepsDefaults(t *testing.T) {
	file := exampleFile{Entries: 7, Name: "default"}
	if err := DecodeTOML([]byte("name = \"a\"\n[peer]\nport = 9\n"), &file); err != nil {
		t.Fatal(err)
	}
	want := exampleFile{Entries: 7, Name: "a"}
	want.Peer.Port = 9
	if file != want {
		t.Errorf("decoded %+v, want %+v", file, want)
	}
}

func TestDecodeTOMLReportsLineAndKeyOfFirstError(t *testing.T) {
	for _, c := range []struct {
		name, text string
		line       int
		key        string
		unknown    bool
		message    string // full error text; empty if it ends with the TOML decoder's own message, which is not checked
	}{
		{name: "unknown key", text: "entries = 1\nentrees = 2\n", line: 2, key: "entrees", unknown: true, message: "line 2: entrees: unknown"},
		{
			name: "unknown key in table", text: "[peer]\nhost = \"a\"\n",
			line: 2, key: "peer.host", unknown: true, message: "line 2: peer.host: unknown",
		},
		{name: "first of two unknown keys", text: "a = 1\nb = 2\n", line: 1, key: "a", unknown: true, message: "line 1: a: unknown"},
		{name: "wrong type", text: "\nentries = \"many\"\n", line: 2, key: "entries"},
		{name: "syntax error", text: "entries = \n", line: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := DecodeTOML([]byte(c.text), &exampleFile{})
			var got *DecodeError
			if !errors.As(err, &got) {
				t.Fatalf("error %v, want a DecodeError", err)
			}
			if got.Line != c.line || got.Key != c.key {
				t.Errorf("got line %d and key %q, want %d and %q", got.Line, got.Key, c.line, c.key)
			}
			if errors.Is(err, ErrUnknownKey) != c.unknown {
				t.Errorf("error %v, want it caused by ErrUnknownKey: %v", err, c.unknown)
			}
			var decoder *toml.DecodeError
			if !c.unknown && !errors.As(err, &decoder) {
				t.Errorf("error %v, want one caused by a toml.DecodeError", err)
			}
			if c.message != "" && err.Error() != c.message {
				t.Errorf("error %q, want %q", err, c.message)
			}
		})
	}
}

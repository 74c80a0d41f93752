package negativecache_test

import (
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// update has the golden files rewritten from what the code encodes now: go test ./negativecache -update.
var update = flag.Bool("update", false, "rewrite the golden files in testdata")

// encoding is one line of a golden file: the name of a case and its encoded bytes.
type encoding struct {
	name    string
	encoded []byte
}

// compareGolden compares encodings with the golden file, which holds one line "name hex" for each of them in the same
// order, and returns the bytes that the file holds. A missing file fails the test.
func compareGolden(t *testing.T, file string, encodings []encoding) [][]byte {
	t.Helper()
	path := filepath.Join("testdata", file)
	if *update {
		writeGolden(t, path, encodings)
	}
	golden := readGolden(t, path)
	if len(golden) != len(encodings) {
		t.Fatalf("%s: %d lines for %d cases", path, len(golden), len(encodings))
	}
	all := make([][]byte, len(golden))
	for i, want := range golden {
		got := encodings[i]
		if got.name != want.name {
			t.Fatalf("%s: line %d is case %q, want %q", path, i+1, want.name, got.name)
		}
		if string(got.encoded) != string(want.encoded) {
			t.Errorf("%s: %s: encoded as\n%x, want\n%x", path, got.name, got.encoded, want.encoded)
		}
		all[i] = want.encoded
	}
	return all
}

func writeGolden(t *testing.T, path string, encodings []encoding) {
	t.Helper()
	var text strings.Builder
	for _, e := range encodings {
		fmt.Fprintf(&text, "%s %x\n", e.name, e.encoded)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}

func readGolden(t *testing.T, path string) []encoding {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var all []encoding
	for line := range strings.Lines(string(text)) {
		name, digits, found := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		encoded, err := hex.DecodeString(digits)
		if !found || err != nil {
			t.Fatalf("%s: %s: no name and hex: %v", path, name, err)
		}
		all = append(all, encoding{name, encoded})
	}
	return all
}

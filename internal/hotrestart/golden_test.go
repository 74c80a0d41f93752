package hotrestart

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files of this package anew")

// readTestdata returns the content of a file in testdata.
func readTestdata(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// checkGolden compares a text with the golden file of that name in testdata. With -update it writes the file instead.
func checkGolden(t *testing.T, name, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(filepath.Join("testdata", name), []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if want := readTestdata(t, name); got != want {
		t.Errorf("testdata/%s differs\ngot:\n%s\nwant:\n%s", name, got, want)
	}
}

// Package goldentest compares output of the program with golden files in the testdata directory of the package under
// test. Only `go test PACKAGE -update` writes golden files; a missing golden file fails the test.
package goldentest

import (
	"errors"
	"flag"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const testdata = "testdata"

var update = flag.Bool("update", false, "rewrite the golden files in testdata")

// Read returns the content of a file in testdata.
func Read(t *testing.T, name string) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(testdata, name))
	if errors.Is(err, fs.ErrNotExist) {
		t.Fatalf("%s does not exist in testdata; run the test with -update to write golden files", name)
	}
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

// Text compares a text with a golden file, and reports each line that differs.
func Text(t *testing.T, name, got string) {
	t.Helper()
	if *update {
		write(t, name, got)
	}
	want := Read(t, name)
	if got == want {
		return
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i := range min(len(gotLines), len(wantLines)) {
		if gotLines[i] != wantLines[i] {
			t.Errorf("%s:%d differs\ngot  %s\nwant %s", name, i+1, gotLines[i], wantLines[i])
		}
	}
	if len(gotLines) != len(wantLines) {
		t.Errorf("%s: got %d lines, want %d", name, len(gotLines), len(wantLines))
	}
}

func write(t *testing.T, name, content string) {
	t.Helper()
	if err := os.MkdirAll(testdata, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(testdata, name), []byte(content), 0o644); err != nil {
		t.Fatal(err)
	}
}

// structField matches the name of a Go struct field in errors of the TOML library. The name is not part of a file's
// format, and changes when the field is renamed.
var structField = regexp.MustCompile(`struct field \S+ of type`)

// StableError returns the text of an error without the directory of the files that it names, and with a placeholder
// for the names of Go struct fields. These parts may change while the error stays the same.
func StableError(err error, dir string) string {
	text := strings.ReplaceAll(err.Error(), dir+"/", "")
	return structField.ReplaceAllString(text, "struct field FIELD of type")
}

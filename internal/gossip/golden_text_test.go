package gossip

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

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

// changedLines returns, indented, the lines of a text that are not in the base text.
func changedLines(text, base string) string {
	baseLines := strings.Split(base, "\n")
	var changed strings.Builder
	for line := range strings.Lines(text) {
		if !slices.Contains(baseLines, strings.TrimSuffix(line, "\n")) {
			changed.WriteString("\t" + line)
		}
	}
	return changed.String()
}

// leaveOutEachLine drops each "key = value" line of a TOML text in turn and reports what changes in the result of read.
func leaveOutEachLine(text string, read func(text string) string) string {
	base := read(text)
	lines := strings.SplitAfter(text, "\n")
	var report strings.Builder
	for i, line := range lines {
		key, _, isKey := strings.Cut(line, " = ")
		if !isKey {
			continue
		}
		rest := slices.Delete(slices.Clone(lines), i, i+1)
		fmt.Fprintf(&report, "without %s (line %d):\n%s", key, i+1, changedLines(read(strings.Join(rest, "")), base))
	}
	return report.String()
}

// fieldName matches the name of a Go struct field in errors of the TOML library. It is no part of the file's format and
// changes when the field is renamed.
var fieldName = regexp.MustCompile(`struct field \S+ of type`)

// stableError returns an error's text without directories of files and without names of struct fields.
func stableError(err error, dir string) string {
	text := strings.ReplaceAll(err.Error(), dir+"/", "")
	return fieldName.ReplaceAllString(text, "struct field FIELD of type")
}

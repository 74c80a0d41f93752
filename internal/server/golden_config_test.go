package server_test

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

// changedLines returns the lines of a text that the base text lacks, indented.
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

// leaveOutEachLine drops each "key = value" line of a TOML text in turn and tells what that changes in what is read.
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

// leaveOutEachKey takes a JSON text with one key a line, gives each key in turn a name that nothing reads, and tells what
// that changes in what is read.
func leaveOutEachKey(text string, read func(text string) string) string {
	base := read(text)
	lines := strings.SplitAfter(text, "\n")
	var report strings.Builder
	for i, line := range lines {
		quoted, _, isKey := strings.Cut(strings.TrimSpace(line), ": ")
		if !isKey {
			continue
		}
		renamed := slices.Clone(lines)
		renamed[i] = strings.Replace(line, quoted, `"left-out"`, 1)
		fmt.Fprintf(&report, "without %s (line %d):\n%s", quoted, i+1, changedLines(read(strings.Join(renamed, "")), base))
	}
	return report.String()
}

// fieldName is the name of a Go struct field that the TOML library puts into its errors. It is no part of the file's
// format, and changes when the field is renamed.
var fieldName = regexp.MustCompile(`struct field \S+ of type`)

// stableError is an error's text without the directory of the files that it names and without names of struct fields.
func stableError(err error, dir string) string {
	text := strings.ReplaceAll(err.Error(), dir+"/", "")
	return fieldName.ReplaceAllString(text, "struct field FIELD of type")
}

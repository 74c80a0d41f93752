package settings

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
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

// leaveOutEachKey takes a JSON text with one key a line, gives each key in turn a name that nothing reads, and reports
// what that changes in the settings.
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

package goldentest

import (
	"fmt"
	"slices"
	"strings"
)

// ChangedLines returns the lines of text that are not in base, each indented by a tab.
func ChangedLines(text, base string) string {
	baseLines := strings.Split(base, "\n")
	var changed strings.Builder
	for line := range strings.Lines(text) {
		if !slices.Contains(baseLines, strings.TrimSuffix(line, "\n")) {
			changed.WriteString("\t" + line)
		}
	}
	return changed.String()
}

// LeaveOutEachLine removes each "key = value" line of a TOML text in turn, and returns a report of the lines that this
// changes in the output of read.
func LeaveOutEachLine(text string, read func(text string) string) string {
	base := read(text)
	lines := strings.SplitAfter(text, "\n")
	var report strings.Builder
	for i, line := range lines {
		key, _, isKey := strings.Cut(line, " = ")
		if !isKey {
			continue
		}
		rest := slices.Delete(slices.Clone(lines), i, i+1)
		fmt.Fprintf(&report, "without %s (line %d):\n%s", key, i+1, ChangedLines(read(strings.Join(rest, "")), base))
	}
	return report.String()
}

// LeaveOutEachKey takes a JSON text with one key per line. It renames each key in turn to one that is not read, and
// returns a report of the lines that this changes in the output of read.
func LeaveOutEachKey(text string, read func(text string) string) string {
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
		fmt.Fprintf(&report, "without %s (line %d):\n%s", quoted, i+1, ChangedLines(read(strings.Join(renamed, "")), base))
	}
	return report.String()
}

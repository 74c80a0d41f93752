package goldentest

import (
	"fmt"
	"slices"
	"strings"
)

// ChangedLines returns the lines of a text that the base text lacks, indented.
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

// LeaveOutEachLine drops each "key = value" line of a TOML text in turn and reports what that changes in what is read.
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

// LeaveOutEachKey takes a JSON text with one key a line, gives each key in turn a name that nothing reads, and reports
// what that changes in what is read.
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

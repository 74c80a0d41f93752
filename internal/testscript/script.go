package testscript

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// commentMark is the prefix of a comment line.
const commentMark = "#"

// Runner runs the steps of one script. An implementation reports failures to the test that it is created for.
type Runner interface {
	// RunStep runs the step on one line of the script, given the line number, from 1, and the one or more words of the
	// line.
	RunStep(line int, words []string)
	// Finish is called once, after the last step.
	Finish()
}

// RunFiles runs each script file that matches the pattern (see filepath.Glob) in a subtest named after the file, with
// a new Runner returned by newRunner. It fails the test if no file matches or a file cannot be read.
func RunFiles(t *testing.T, pattern string, newRunner func(t *testing.T) Runner) {
	t.Helper()
	files, err := filepath.Glob(pattern)
	if err != nil || len(files) == 0 {
		t.Fatal("no script file matches the pattern", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			run(string(text), newRunner(t))
		})
	}
}

// run runs the steps of a script. It skips empty lines and comments, which count in the line numbers.
func run(script string, runner Runner) {
	for i, line := range strings.Split(script, "\n") {
		if words := strings.Fields(line); len(words) > 0 && !strings.HasPrefix(words[0], commentMark) {
			runner.RunStep(i+1, words)
		}
	}
	runner.Finish()
}

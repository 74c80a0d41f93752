package testscript

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// commentMark begins a line that is a comment.
const commentMark = "#"

// Runner runs the steps of one script. It holds the test that it belongs to and reports failures there.
type Runner interface {
	// RunStep runs one line of the script: its number from 1, and its words, of which there is at least one.
	RunStep(line int, w []string)
	// Finish is called once, after the last line.
	Finish()
}

// RunFiles runs each file that matches the pattern (see filepath.Glob) as a subtest named after the file, on a stage of its
// own that newStage returns. It fails the test if no file matches or a file cannot be read.
func RunFiles(t *testing.T, pattern string, newStage func(t *testing.T) Runner) {
	t.Helper()
	files, err := filepath.Glob(pattern)
	if err != nil || len(files) == 0 {
		t.Fatal("no scenarios", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			run(string(text), newStage(t))
		})
	}
}

// run runs the lines of a script. Empty lines and comments are skipped, and counted in the line numbers.
func run(script string, stage Runner) {
	for i, line := range strings.Split(script, "\n") {
		if words := strings.Fields(line); len(words) > 0 && !strings.HasPrefix(words[0], commentMark) {
			stage.RunStep(i+1, words)
		}
	}
	stage.Finish()
}

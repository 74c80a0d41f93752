// Package testscript plays the project's scenarios in tests: small text files of a step a line, words apart by
// blanks. Lines that begin with # are comments.
package testscript

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// Stage is where a scenario is played.
type Stage interface {
	Step(line int, w []string)
	End() // after the last
}

// Play plays each file of the pattern as a subtest on a stage of its own.
func Play(t *testing.T, pattern string, stage func(t *testing.T) Stage) {
	files, err := filepath.Glob(pattern)
	if err != nil || len(files) == 0 {
		t.Fatal("no scenarios", err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			s := stage(t)
			for i, line := range strings.Split(string(text), "\n") {
				if w := strings.Fields(line); len(w) > 0 && w[0][0] != '#' {
					s.Step(i+1, w)
				}
			}
			s.End()
		})
	}
}

// Words splits WORD=VALUE pairs; bare words map to "1".
func Words(w []string) map[string]string {
	m := map[string]string{}
	for _, s := range w {
		k, v, ok := strings.Cut(s, "=")
		if !ok {
			v = "1"
		}
		m[k] = v
	}
	return m
}

// Num reads a number; an empty word is 0.
func Num(s string) float64 {
	f, err := strconv.ParseFloat(s, 64)
	if err != nil && s != "" {
		panic("not a number in a scenario: " + s)
	}
	return f
}

// Holds compares a number by OP.
func Holds(got int, op string, want int) bool {
	switch op {
	case "=":
		return got == want
	case "<=":
		return got <= want
	case ">=":
		return got >= want
	}
	panic("no comparison in a scenario: " + op)
}

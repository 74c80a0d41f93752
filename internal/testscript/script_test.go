package testscript

import (
	"fmt"
	"reflect"
	"testing"
)

// recorder is a Runner that records its calls.
type recorder struct {
	steps    []string
	finished int
}

func (r *recorder) RunStep(line int, words []string) {
	r.steps = append(r.steps, fmt.Sprint(line, words))
}
func (r *recorder) Finish() { r.finished++ }

// RunStep receives the line numbers in the file, without comments and empty lines, and Finish is called once.
func TestRunSkipsCommentsAndEmptyLines(t *testing.T) {
	var got recorder
	run("# comment\n\n  first a=1  b\n # indented comment\nsecond\n", &got)
	if want := []string{"3 [first a=1 b]", "5 [second]"}; !reflect.DeepEqual(got.steps, want) || got.finished != 1 {
		t.Errorf("got steps %v and %d calls of Finish, want %v and 1 call", got.steps, got.finished, want)
	}
}

func TestParseArgumentsMapsBareWordsToOne(t *testing.T) {
	got := ParseArguments([]string{"a=2", "b", "c=", "d=x=y"})
	if want := map[string]string{"a": "2", "b": "1", "c": "", "d": "x=y"}; !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestParseNumber(t *testing.T) {
	for word, want := range map[string]float64{"": 0, "0": 0, "12": 12, "0.5": 0.5, "-3": -3} {
		if got := ParseNumber(word); got != want {
			t.Errorf("%q: got %v, want %v", word, got, want)
		}
	}
}

func TestCompare(t *testing.T) {
	for _, test := range []struct {
		op                  string
		less, equal, higher bool // results for 1, 2 and 3 compared with 2
	}{
		{"=", false, true, false},
		{"<=", true, true, false},
		{">=", false, true, true},
	} {
		t.Run(test.op, func(t *testing.T) {
			got := []bool{Compare(1, test.op, 2), Compare(2, test.op, 2), Compare(3, test.op, 2)}
			if want := []bool{test.less, test.equal, test.higher}; !reflect.DeepEqual(got, want) {
				t.Errorf("got %v, want %v", got, want)
			}
		})
	}
}

// An invalid word panics and so ends the test run, so that an error in a script is not taken for a test result.
func TestInvalidWordsPanic(t *testing.T) {
	for name, call := range map[string]func(){
		"number":   func() { ParseNumber("many") },
		"relation": func() { Compare(1, "<", 2) },
	} {
		t.Run(name, func(t *testing.T) {
			defer func() {
				if recover() == nil {
					t.Error("got no panic")
				}
			}()
			call()
		})
	}
}

package testscript

import (
	"fmt"
	"reflect"
	"testing"
)

// recorder records the steps that it is given.
type recorder struct {
	steps    []string
	finished int
}

func (r *recorder) RunStep(line int, w []string) { r.steps = append(r.steps, fmt.Sprint(line, w)) }
func (r *recorder) Finish()                      { r.finished++ }

// Steps have their line numbers in the file; comments and empty lines are skipped, and the end is reported once.
func TestRunSkipsCommentsAndEmptyLines(t *testing.T) {
	var got recorder
	run("# comment\n\n  first a=1  b\n # indented comment\nsecond\n", &got)
	if want := []string{"3 [first a=1 b]", "5 [second]"}; !reflect.DeepEqual(got.steps, want) || got.finished != 1 {
		t.Errorf("steps %v, ended %d times, want %v, once", got.steps, got.finished, want)
	}
}

func TestWordsMapsBareWordsToOne(t *testing.T) {
	got := ParseArguments([]string{"a=2", "b", "c=", "d=x=y"})
	if want := map[string]string{"a": "2", "b": "1", "c": "", "d": "x=y"}; !reflect.DeepEqual(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

func TestNum(t *testing.T) {
	for word, want := range map[string]float64{"": 0, "0": 0, "12": 12, "0.5": 0.5, "-3": -3} {
		if got := ParseNumber(word); got != want {
			t.Errorf("%q is %v, want %v", word, got, want)
		}
	}
}

func TestHolds(t *testing.T) {
	for _, test := range []struct {
		op                  string
		less, equal, higher bool // what it is of 1, 2 and 3 against 2
	}{
		{"=", false, true, false},
		{"<=", true, true, false},
		{">=", false, true, true},
	} {
		t.Run(test.op, func(t *testing.T) {
			got := []bool{Compare(1, test.op, 2), Compare(2, test.op, 2), Compare(3, test.op, 2)}
			if want := []bool{test.less, test.equal, test.higher}; !reflect.DeepEqual(got, want) {
				t.Errorf("%v, want %v", got, want)
			}
		})
	}
}

// An error in a script ends the test run, so that it cannot pass for a result.
func TestBadWordsPanic(t *testing.T) {
	for name, call := range map[string]func(){
		"number":   func() { ParseNumber("many") },
		"relation": func() { Compare(1, "<", 2) },
	} {
		t.Run(name, func(t *testing.T) {
			defer func() {
				if recover() == nil {
					t.Error("no panic")
				}
			}()
			call()
		})
	}
}

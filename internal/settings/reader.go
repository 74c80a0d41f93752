package settings

import (
	"fmt"
	"math"
	"strings"

	"woodproxy/balancer"
	"woodproxy/internal/settings/jsonvalue"

	"github.com/valyala/fastjson"
)

// reader reads values of an object by their paths and keeps the first error.
type reader struct {
	root   *fastjson.Value
	prefix string // path of the object that is read, with a dot behind; empty for the settings object itself
	err    *error // shared with the readers of the entries
}

// entry returns a reader of an entry of a list, which keeps its errors with those of r.
func (r reader) entry(list string, index int, v *fastjson.Value) reader {
	return reader{root: v, prefix: fmt.Sprintf("%s[%d].", list, index), err: r.err}
}

// fail keeps an error of the value at a path. The text is part of what operators see of a bad configuration.
func (r reader) fail(path []string, reason error) {
	if *r.err == nil {
		*r.err = fmt.Errorf("setup %s%s: %w", r.prefix, strings.Join(path, "."), reason)
	}
}

// check keeps an error, if there is one, of the value at a path.
func (r reader) check(path []string, err error) {
	if err != nil {
		r.fail(path, err)
	}
}

func (r reader) has(path ...string) bool { return !jsonvalue.IsAbsent(r.root.Get(path...)) }

func (r reader) number(presence jsonvalue.Presence, path ...string) float64 {
	n, err := jsonvalue.Number(r.root.Get(path...), presence)
	r.check(path, err)
	return n
}

// notNegative reads a number of zero or more.
func (r reader) notNegative(presence jsonvalue.Presence, path ...string) float64 {
	return r.within(0, math.MaxFloat64, presence, path...)
}

// within reads a number from least to most.
func (r reader) within(least, most float64, presence jsonvalue.Presence, path ...string) float64 {
	n := r.number(presence, path...)
	if n < least || n > most {
		r.fail(path, jsonvalue.ErrOutOfRange)
	}
	return n
}

// integer reads a required integer from least to most.
func (r reader) integer(least, most int, path ...string) int {
	n := r.within(float64(least), float64(most), jsonvalue.Required, path...)
	if n != math.Trunc(n) {
		r.fail(path, jsonvalue.ErrOutOfRange)
	}
	return int(n)
}

// duration reads a time in milliseconds.
func (r reader) duration(presence jsonvalue.Presence, path ...string) balancer.Time {
	return FromMilliseconds(r.number(presence, path...))
}

// positiveDuration reads a required time in milliseconds, which is more than zero once it is rounded.
func (r reader) positiveDuration(path ...string) balancer.Time {
	t := r.duration(jsonvalue.Required, path...)
	if t <= 0 {
		r.fail(path, jsonvalue.ErrOutOfRange)
	}
	return t
}

func (r reader) text(presence jsonvalue.Presence, path ...string) string {
	text, err := jsonvalue.Text(r.root.Get(path...), presence)
	r.check(path, err)
	return text
}

func (r reader) flag(path ...string) bool {
	flag, err := jsonvalue.Flag(r.root.Get(path...))
	r.check(path, err)
	return flag
}

func (r reader) list(presence jsonvalue.Presence, path ...string) []*fastjson.Value {
	elements, err := jsonvalue.Array(r.root.Get(path...), presence)
	r.check(path, err)
	return elements
}

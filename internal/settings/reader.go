package settings

import (
	"fmt"
	"math"
	"strings"

	"woodproxy/balancer"
	"woodproxy/internal/settings/jsonvalue"

	"github.com/valyala/fastjson"
)

// reader reads values of a JSON object by their paths and records the first error.
type reader struct {
	root   *fastjson.Value
	prefix string // path of the object followed by a dot; empty for the settings object itself
	err    *error // first error, shared with the readers of list entries
}

// entry returns a reader of an entry of a list. Both readers record the same first error.
func (r reader) entry(list string, index int, v *fastjson.Value) reader {
	return reader{root: v, prefix: fmt.Sprintf("%s[%d].", list, index), err: r.err}
}

// fail records an error in the value at a path. Operators see the text when they load an invalid configuration.
func (r reader) fail(path []string, reason error) {
	if *r.err == nil {
		*r.err = fmt.Errorf("setup %s%s: %w", r.prefix, strings.Join(path, "."), reason)
	}
}

// check records err, if it is not nil, as an error in the value at a path.
func (r reader) check(path []string, err error) {
	if err != nil {
		r.fail(path, err)
	}
}

// has reports whether the value at a path is present and not null.
func (r reader) has(path ...string) bool { return !jsonvalue.IsAbsent(r.root.Get(path...)) }

func (r reader) number(presence jsonvalue.Presence, path ...string) float64 {
	n, err := jsonvalue.Number(r.root.Get(path...), presence)
	r.check(path, err)
	return n
}

// nonNegative reads a number that must not be negative.
func (r reader) nonNegative(presence jsonvalue.Presence, path ...string) float64 {
	return r.numberInRange(0, math.MaxFloat64, presence, path...)
}

// numberInRange reads a number from lowest to highest.
func (r reader) numberInRange(lowest, highest float64, presence jsonvalue.Presence, path ...string) float64 {
	n := r.number(presence, path...)
	if n < lowest || n > highest {
		r.fail(path, jsonvalue.ErrOutOfRange)
	}
	return n
}

// integer reads a required integer from lowest to highest.
func (r reader) integer(lowest, highest int, path ...string) int {
	n := r.numberInRange(float64(lowest), float64(highest), jsonvalue.Required, path...)
	if n != math.Trunc(n) {
		r.fail(path, jsonvalue.ErrOutOfRange)
	}
	return int(n)
}

// duration reads a duration in milliseconds.
func (r reader) duration(presence jsonvalue.Presence, path ...string) balancer.Time {
	return FromMilliseconds(r.number(presence, path...))
}

// positiveDuration reads a required duration in milliseconds, which must be greater than zero after rounding.
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

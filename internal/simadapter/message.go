package simadapter

import (
	"fmt"
	"math"

	"woodproxy/balancer"
	"woodproxy/internal/settings"

	"github.com/valyala/fastjson"
)

const (
	need = true
	may  = false
)

// fields reads a message's values in their order and keeps the first thing found wrong with them.
type fields struct {
	name string
	vals []*fastjson.Value
	err  error
}

func (f *fields) fail(field, what string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s: %s", f.name, field, what)
	}
}

// at returns the value at a place, nil where it is absent or null.
func (f *fields) at(i int) *fastjson.Value {
	if i >= len(f.vals) || f.vals[i].Type() == fastjson.TypeNull {
		return nil
	}
	return f.vals[i]
}

func (f *fields) number(i int, field string, needed bool) float64 {
	v := f.at(i)
	if v == nil {
		if needed {
			f.fail(field, "missing")
		}
		return 0
	}
	n, err := v.Float64()
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		f.fail(field, "mistyped")
	}
	return n
}

func (f *fields) time(i int, field string, needed bool) balancer.Time {
	return settings.Tenths(f.number(i, field, needed))
}

// count reads a small whole number that is not negative.
func (f *fields) count(i int, field string, needed bool) int {
	n := f.number(i, field, needed)
	if f.err == nil && (n != math.Trunc(n) || n < 0 || n > math.MaxInt32) {
		f.fail(field, "not a small whole number")
	}
	return int(n)
}

func (f *fields) whole(i int, field string) int64 {
	v := f.at(i)
	if v == nil {
		f.fail(field, "missing")
		return 0
	}
	n, err := v.Int64()
	if err != nil {
		f.fail(field, "mistyped")
	}
	return n
}

func (f *fields) text(i int, field string, needed bool) string {
	v := f.at(i)
	if v == nil {
		if needed {
			f.fail(field, "missing")
		}
		return ""
	}
	s, err := v.StringBytes()
	if err != nil {
		f.fail(field, "mistyped")
	}
	return string(s)
}

func (f *fields) flag(i int, field string) bool {
	v := f.at(i)
	if v == nil {
		return false
	}
	on, err := v.Bool()
	if err != nil {
		f.fail(field, "mistyped")
	}
	return on
}

func (f *fields) array(i int, field string) []*fastjson.Value {
	v := f.at(i)
	if v == nil {
		f.fail(field, "missing")
		return nil
	}
	a, err := v.Array()
	if err != nil {
		f.fail(field, "mistyped")
	}
	return a
}

func (f *fields) object(i int, field string) {
	if v := f.at(i); v != nil && v.Type() != fastjson.TypeObject {
		f.fail(field, "mistyped")
	}
}

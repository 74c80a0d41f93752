package simadapter

import (
	"errors"
	"fmt"
	"math"

	"woodproxy/balancer"
	"woodproxy/internal/settings"
	"woodproxy/internal/settings/jsonvalue"

	"github.com/valyala/fastjson"
)

// Errors in the fields of messages.
var (
	errNotCount      = errors.New("not an integer from 0 to 2147483647")
	errWrongSettings = errors.New("missing or mistyped")
	errNotArray      = errors.New("an entry is not an array")
	errBankRange     = errors.New("out of range")
	errUnknownBank   = errors.New("unknown list number")
	errUnknownRoute  = errors.New("not in the settings")
	errUnknownNode   = errors.New("not in any endpoint list")
	errDuplicateID   = errors.New("duplicate")
)

// message is a parsed message. Its methods read fields by position, and keep the first error in err.
type message struct {
	name     string
	values   []*fastjson.Value
	instance int // number of the instance that the message is addressed to
	err      error
}

// fail stores an error about a field, unless the message has an error already.
func (m *message) fail(field string, reason error) {
	if m.err == nil {
		m.err = fmt.Errorf("%s: %s: %w", m.name, field, reason)
	}
}

// check stores err as an error about a field, unless err is nil.
func (m *message) check(field string, err error) {
	if err != nil {
		m.fail(field, err)
	}
}

// at returns the value at a position, or nil if the value is absent or null.
func (m *message) at(position int) *fastjson.Value {
	if position >= len(m.values) || jsonvalue.IsAbsent(m.values[position]) {
		return nil
	}
	return m.values[position]
}

func (m *message) number(position int, field string, presence jsonvalue.Presence) float64 {
	n, err := jsonvalue.Number(m.at(position), presence)
	m.check(field, err)
	return n
}

// time reads a time in milliseconds.
func (m *message) time(position int, field string, presence jsonvalue.Presence) balancer.Time {
	return settings.FromMilliseconds(m.number(position, field, presence))
}

// count reads an integer from 0 to math.MaxInt32.
func (m *message) count(position int, field string, presence jsonvalue.Presence) int {
	n := m.number(position, field, presence)
	if n != math.Trunc(n) || n < 0 || n > math.MaxInt32 {
		m.fail(field, errNotCount)
	}
	return int(n)
}

// integer reads a required signed 64-bit integer.
func (m *message) integer(position int, field string) int64 {
	v := m.at(position)
	if v == nil {
		m.fail(field, jsonvalue.ErrMissing)
		return 0
	}
	n, err := v.Int64()
	if err != nil {
		m.fail(field, jsonvalue.ErrMistyped)
	}
	return n
}

func (m *message) text(position int, field string, presence jsonvalue.Presence) string {
	text, err := jsonvalue.Text(m.at(position), presence)
	m.check(field, err)
	return text
}

func (m *message) flag(position int, field string) bool {
	flag, err := jsonvalue.Flag(m.at(position))
	m.check(field, err)
	return flag
}

func (m *message) array(position int, field string) []*fastjson.Value {
	elements, err := jsonvalue.Array(m.at(position), jsonvalue.Required)
	m.check(field, err)
	return elements
}

// checkObject checks the type of an optional object whose contents are not used.
func (m *message) checkObject(position int, field string) {
	if v := m.at(position); v != nil && v.Type() != fastjson.TypeObject {
		m.fail(field, jsonvalue.ErrMistyped)
	}
}

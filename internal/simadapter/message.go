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

var (
	errNotCount      = errors.New("not a small whole number")
	errWrongSettings = errors.New("missing or mistyped")
	errNotArray      = errors.New("an entry is not an array")
	errBankRange     = errors.New("out of range")
	errUnknownBank   = errors.New("unknown list number")
	errUnknownRoute  = errors.New("not in the settings")
	errUnknownNode   = errors.New("in no list")
	errDuplicateID   = errors.New("given twice")
)

// message reads the fields of a message, which are known by their positions, and keeps the first error.
type message struct {
	name     string
	values   []*fastjson.Value
	instance int // number of the instance that the message is for
	err      error
}

// fail keeps an error of a field.
func (m *message) fail(field string, reason error) {
	if m.err == nil {
		m.err = fmt.Errorf("%s: %s: %w", m.name, field, reason)
	}
}

// check keeps an error, if there is one, of a field.
func (m *message) check(field string, err error) {
	if err != nil {
		m.fail(field, err)
	}
}

// at returns the value at a position, nil where it is absent or null.
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

// time reads milliseconds.
func (m *message) time(position int, field string, presence jsonvalue.Presence) balancer.Time {
	return settings.FromMilliseconds(m.number(position, field, presence))
}

// count reads an integer from 0 to the largest of 32 bits.
func (m *message) count(position int, field string, presence jsonvalue.Presence) int {
	n := m.number(position, field, presence)
	if n != math.Trunc(n) || n < 0 || n > math.MaxInt32 {
		m.fail(field, errNotCount)
	}
	return int(n)
}

// integer reads a required integer of 64 bits.
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

// checkObject checks the type of an optional object whose content is not used.
func (m *message) checkObject(position int, field string) {
	if v := m.at(position); v != nil && v.Type() != fastjson.TypeObject {
		m.fail(field, jsonvalue.ErrMistyped)
	}
}

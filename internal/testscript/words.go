package testscript

import (
	"fmt"
	"strconv"
	"strings"
)

// presentValue is the value of a word that stands without one.
const presentValue = "1"

// ParseArguments returns the values of key=value words by key; a word without a value has the value "1". Of words with the same
// key, the last counts.
func ParseArguments(w []string) map[string]string {
	values := make(map[string]string, len(w))
	for _, word := range w {
		key, value, ok := strings.Cut(word, "=")
		if !ok {
			value = presentValue
		}
		values[key] = value
	}
	return values
}

// ParseNumber returns the number that a word states; an empty word, as of a key that is not there, is 0. It panics on any other
// text, since that is an error in the script and not in what is tested.
func ParseNumber(s string) float64 {
	if s == "" {
		return 0
	}
	number, err := strconv.ParseFloat(s, 64)
	if err != nil {
		panic(fmt.Sprintf("not a number in a scenario: %s", s))
	}
	return number
}

// Compare reports whether got stands in the relation op ("=", "<=" or ">=") to want. It panics on any other relation,
// since that is an error in the script and not in what is tested.
func Compare(got int, op string, want int) bool {
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

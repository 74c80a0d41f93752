package testscript

import (
	"fmt"
	"strconv"
	"strings"
)

// defaultValue is the value of a word that has none.
const defaultValue = "1"

// ParseArguments returns the values of key=value words by key. A word without "=" is a key with the value "1". If
// several words have the same key, the last one takes precedence.
func ParseArguments(words []string) map[string]string {
	values := make(map[string]string, len(words))
	for _, word := range words {
		key, value, ok := strings.Cut(word, "=")
		if !ok {
			value = defaultValue
		}
		values[key] = value
	}
	return values
}

// ParseNumber parses a decimal number. It returns 0 for an empty word, which is the value of an absent key. It panics on
// any other text, since that is an error in the script and not in the code under test.
func ParseNumber(s string) float64 {
	if s == "" {
		return 0
	}
	number, err := strconv.ParseFloat(s, 64)
	if err != nil {
		panic(fmt.Sprintf("script: invalid number: %s", s))
	}
	return number
}

// Compare reports whether "got op want" is true, where op is "=", "<=" or ">=". It panics on any other operator, since
// that is an error in the script and not in the code under test.
func Compare(got int, op string, want int) bool {
	switch op {
	case "=":
		return got == want
	case "<=":
		return got <= want
	case ">=":
		return got >= want
	}
	panic("script: unknown comparison operator: " + op)
}

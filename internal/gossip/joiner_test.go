package gossip

import (
	"slices"
	"testing"
)

func TestRotateStartsAtOffsetAndWraps(t *testing.T) {
	addresses := []string{"a", "b", "c"}
	for _, test := range []struct {
		name          string
		offset, count int
		want          []string
	}{
		{"from the start", 0, 2, []string{"a", "b"}},
		{"past the end", 2, 2, []string{"c", "a"}},
		{"offset beyond the length", 7, 3, []string{"b", "c", "a"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := rotate(addresses, test.offset, test.count); !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

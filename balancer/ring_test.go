package balancer

import (
	"slices"
	"testing"
)

func points(positions ...uint64) []ringPoint {
	var p []ringPoint
	for i, position := range positions {
		p = append(p, ringPoint{position, int32(i)})
	}
	return p
}

func TestRingAddKeepsPointsInOrder(t *testing.T) {
	tests := map[string]struct{ before, added []ringPoint }{
		"nothing to an empty ring": {nil, nil},
		"to an empty ring":         {nil, points(9, 3, 5)},
		"nothing":                  {points(1, 2, 3), nil},
		"before all":               {points(10, 20), points(2, 1)},
		"behind all":               {points(10, 20), points(31, 30)},
		"between":                  {points(10, 20, 30), points(25, 5, 15, 35)},
		"at the same positions":    {points(10, 20, 30), points(10, 20, 30)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			want := slices.Concat(test.before, test.added)
			slices.SortFunc(want, ringPoint.compare)
			r := ring{points: slices.Clone(test.before)}
			r.add(slices.Clone(test.added))
			if !slices.Equal(r.points, want) {
				t.Errorf("points %v, want %v", r.points, want)
			}
		})
	}
}

func TestRingSearchFindsTheNextPoint(t *testing.T) {
	r := ring{points: points(10, 20, 30)}
	tests := map[string]struct {
		position uint64
		want     int
	}{
		"before all":    {0, 0},
		"at a point":    {20, 1},
		"after a point": {21, 2},
		"behind all":    {31, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := r.search(test.position); got != test.want {
				t.Errorf("index %d, want %d", got, test.want)
			}
		})
	}
}

// All proxies, of this version and of others, have to place an endpoint at the same points.
func TestRingPositionStaysTheSame(t *testing.T) {
	tests := map[string]struct {
		name  string
		index int
		want  uint64
	}{
		"first point":  {"cache-1", 0, 0x1e140f35b9189aaa},
		"later point":  {"cache-1", 159, 0xc7d3fb69293859e3},
		"another name": {"cache-2", 0, 0x9c051567a063615b},
		"no name":      {"", 0, 0x4c5109313f4c5d42},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := ringPosition(test.name, test.index); got != test.want {
				t.Errorf("position %#x, want %#x", got, test.want)
			}
		})
	}
}

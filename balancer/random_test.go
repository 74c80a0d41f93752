package balancer

import "testing"

// The same seed must give the same decisions in every version.
func TestGeneratorSequenceStaysTheSame(t *testing.T) {
	g := generator{state: 1}
	for i, want := range []float64{0, 0.7250418337062001, 0.7703293012455106, 0.5695683930534869} {
		if got := g.draw(); got != want {
			t.Errorf("draw %d: got %v, want %v", i, got, want)
		}
	}
}

package balancer

// generator is a permuted congruential generator (PCG, XSH RR).
type generator struct{ state uint64 }

// draw returns the next random number in [0, 1).
func (g *generator) draw() float64 {
	s := g.state
	g.state = s*6364136223846793005 + 1442695040888963407
	v, r := uint32((s>>18^s)>>27), uint32(s>>59)
	return float64(v>>r|v<<(-r&31)) / (1 << 32)
}

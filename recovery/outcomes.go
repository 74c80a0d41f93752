package recovery

const (
	// outcomeDecay is the factor by which each outcome reduces the weight of all earlier ones. The latest 20 outcomes
	// carry about 64% of the total weight.
	outcomeDecay = 0.95
	// minInTimePerLate is the required ratio of outcomes in time to late outcomes: nine in ten must be in time.
	minInTimePerLate = 9
)

// outcomeCounts holds exponentially weighted counts of the requests that finished in time and of those that did not.
type outcomeCounts struct {
	total  int // not weighted
	inTime float64
	late   float64
}

func (c *outcomeCounts) add(inTime bool) {
	c.total++
	c.inTime *= outcomeDecay
	c.late *= outcomeDecay
	if inTime {
		c.inTime++
	} else {
		c.late++
	}
}

func (c *outcomeCounts) mostlyInTime() bool { return c.inTime >= minInTimePerLate*c.late }

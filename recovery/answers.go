package recovery

const (
	// answerDecay is the factor by which each answer lowers the weight of all earlier ones: the latest 20 have most of it.
	answerDecay = 0.95
	// minInTimePerLate asks for nine answers in ten to be in time.
	minInTimePerLate = 9
)

// answerCounts counts the answers in time and the late ones, as an exponentially weighted sum of each.
type answerCounts struct {
	total  int
	inTime float64
	late   float64
}

func (c *answerCounts) add(inTime bool) {
	c.total++
	c.inTime *= answerDecay
	c.late *= answerDecay
	if inTime {
		c.inTime++
	} else {
		c.late++
	}
}

func (c *answerCounts) mostlyInTime() bool { return c.inTime >= minInTimePerLate*c.late }

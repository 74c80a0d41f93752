package main

import (
	"context"
	"fmt"

	"woodproxy/internal/simnet"
	"woodproxy/replica"
)

const (
	minFleet = 2
	maxFleet = 100_000

	// spreadTimeout is the simulated time after which a proxy that the change has not reached counts as never reached.
	spreadTimeout = 4 * replica.Second
	// ticksPerMillisecond is the number of units of replica.Time, which are tenths of a millisecond, in a millisecond.
	ticksPerMillisecond = replica.Second / 1000
)

// spreadCommand measures how fast one change reaches all proxies of simulated fleets.
type spreadCommand struct {
	Sizes []int   `default:"60,300,1000,10000" help:"Numbers of proxies, one fleet for each."`
	Loss  float64 `default:"0.05" help:"Fraction of datagrams that are lost."`
	Seed  uint64  `default:"1"`
}

// Run prints one tab-separated line for each fleet size.
func (c *spreadCommand) Run(context.Context) error {
	fmt.Println("proxies\tp50_ms\tp99_ms\tlast_ms\tnever\tbytes_a_proxy")
	for _, size := range c.Sizes {
		if size < minFleet || size > maxFleet || !(c.Loss >= 0 && c.Loss < 1) {
			return fmt.Errorf("sizes or loss: %d, %v: out of range", size, c.Loss)
		}
		c.measure(size)
	}
	return nil
}

func (c *spreadCommand) measure(size int) {
	config := simnet.Config{
		Proxies:       size,
		Loss:          c.Loss,
		MaxDelaySteps: 1,
		TakeoverDelay: replica.Second,
		QuotaFloor:    0.25,
		NoHeartbeats:  true,
	}
	fleet := simnet.NewFleet(config, c.Seed)
	delays := fleet.MeasurePropagation(spreadTimeout)
	receivers := size - 1 // all but the proxy that makes the change
	// quantileMS returns a quantile over all receivers, or -1 if the change never reached that receiver.
	quantileMS := func(quantile float64) replica.Time {
		if index := int(quantile * float64(receivers)); index < len(delays) {
			return delays[index] / ticksPerMillisecond
		}
		return -1
	}
	bytes := 0
	for _, p := range fleet.Proxies {
		bytes += p.Bytes
	}
	last := delays[len(delays)-1] / ticksPerMillisecond
	fmt.Printf("%d\t%d\t%d\t%d\t%d\t%d\n", size, quantileMS(0.5), quantileMS(0.99), last, receivers-len(delays), bytes/size)
}

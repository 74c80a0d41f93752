package proxy

import (
	"time"

	"go.uber.org/zap"
)

// The steps of a drain, from the call on. Who deals out connections asks every so often how things stand, and goes on
// for a moment with what it was told last; clients go on using what stays open.
const (
	drainStep   = 100 * time.Millisecond
	yieldStep   = 4  // from here on a connection is closed behind its next answer
	retireStep  = 14 // and those on which nothing is owed are closed as they are
	shutStep    = 24 // and no further command is taken
	stillAsking = 5 * drainStep
)

// Opened tells whether clients are told that they are served.
func (d *Door) Opened() bool {
	select {
	case <-d.ready:
		return true
	default:
		return false
	}
}

// OutOfService sends clients away, and tells whether they were not sent away already. Nothing here waits for an actor,
// since who calls is owed an answer however busy they are.
func (d *Door) OutOfService() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.out.Swap(true) {
		return false
	}
	d.count.Drains.Add(1)
	d.log.Info("out of service", zap.Int("connections", len(d.clients)))
	d.step = 0
	d.drain = time.AfterFunc(drainStep, d.drainOn)
	return true
}

// InService ends the drain, and tells whether there was one. Connections that were told to end do so.
func (d *Door) InService() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.out.Swap(false) {
		return false
	}
	d.log.Info("in service", zap.Int("connections", len(d.clients)))
	d.drain.Stop()
	if !d.closing {
		d.parting = stays
	}
	return true
}

// drainOn takes the drain one step on, for as long as it lasts.
func (d *Door) drainOn() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.out.Load() {
		return // it has ended meanwhile
	}
	if d.step++; d.step == yieldStep {
		d.parting = max(d.parting, yields)
	}
	now := time.Now()
	for c := range d.clients {
		// a connection that only asks how things stand is none to send away, as long as it asks
		switch since, free, asked := c.drains(); {
		case d.step >= shutStep && asked && now.Sub(c.born) >= shutStep*drainStep:
			c.part(shuts)
		case d.step == retireStep && asked, d.step >= retireStep && free && now.Sub(since) >= stillAsking:
			c.part(retires)
		case d.step >= yieldStep:
			c.part(yields)
		}
	}
	if d.step == retireStep {
		d.log.Info("out of service: idle connections are closed", zap.Int("connections", len(d.clients)))
	}
	d.drain.Reset(drainStep)
}

// partAll has all connections end, those that come yet included, since the proxy stops.
func (d *Door) partAll(how parting) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closing, d.parting = true, max(d.parting, how)
	for c := range d.clients {
		c.part(how)
	}
}

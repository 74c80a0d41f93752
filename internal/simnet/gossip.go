package simnet

import (
	"slices"

	"woodproxy/replica"
)

const (
	gossipFanOut = 4  // peers that a round of gossip is sent to
	maxRows      = 20 // in one datagram

	// repeatFactor times the number of decimal digits of the fleet's size is how often a row is sent.
	repeatFactor = 3
)

// broadcast is a row that a proxy passes on to random peers.
type broadcast struct {
	row       replica.Row
	remaining int // how often it is still to be sent
}

// queueBroadcast queues a row, in place of an older version of the same row.
func (f *Fleet) queueBroadcast(p *Proxy, row replica.Row) {
	p.broadcasts = slices.DeleteFunc(p.broadcasts, func(b broadcast) bool {
		return b.row.Kind == row.Kind && b.row.Key == row.Key && b.row.Writer == row.Writer
	})
	p.broadcasts = append(p.broadcasts, broadcast{row, f.broadcastRepeats()})
}

func (f *Fleet) broadcastRepeats() int {
	digits := 1
	for n := len(f.Proxies); n > 1; n /= 10 {
		digits++
	}
	return repeatFactor * digits
}

// gossip runs one round of a proxy: the rows that were sent least often go out first.
func (f *Fleet) gossip(p *Proxy) {
	if len(p.broadcasts) == 0 || len(f.Proxies) < 2 {
		return
	}
	for range gossipFanOut {
		to := f.random.IntN(len(f.Proxies))
		if to == p.Number {
			continue
		}
		rows := p.nextBroadcasts()
		p.Bytes += rowBytes * len(rows)
		from := ProxyName(p.Number)
		f.send(p.Number, to, datagram, func(q *Proxy) []replica.Decision { return q.Store.HandleRows(q.clock(f.Now), from, rows) })
		if len(p.broadcasts) == 0 {
			return
		}
	}
}

// nextBroadcasts returns the rows of the next datagram, and drops those that were sent often enough.
func (p *Proxy) nextBroadcasts() []replica.Row {
	slices.SortStableFunc(p.broadcasts, func(a, b broadcast) int { return b.remaining - a.remaining })
	rows := make([]replica.Row, min(len(p.broadcasts), maxRows))
	for i := range rows {
		rows[i] = p.broadcasts[i].row
		p.broadcasts[i].remaining--
	}
	p.broadcasts = slices.DeleteFunc(p.broadcasts, func(b broadcast) bool { return b.remaining <= 0 })
	return rows
}

package simnet

import (
	"slices"

	"woodproxy/replica"
)

const (
	gossipFanOut       = 4  // maximum number of peers per gossip round
	maxRowsPerDatagram = 20 // maximum number of rows in one datagram

	// repeatFactor is the number of times a proxy sends a row, per decimal digit of the fleet size.
	repeatFactor = 3
)

// broadcast is a row that a proxy sends to random peers.
type broadcast struct {
	row       replica.Row
	remaining int // number of times that the row is still to be sent
}

// queueBroadcast queues a row and removes a queued older version of the same row.
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

// gossip runs one gossip round of a proxy: it sends queued rows to random peers. Rows that have been sent least often go
// first.
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

// nextBroadcasts returns the rows of the next datagram. Rows that have now been sent the required number of times are
// removed from the queue.
func (p *Proxy) nextBroadcasts() []replica.Row {
	slices.SortStableFunc(p.broadcasts, func(a, b broadcast) int { return b.remaining - a.remaining })
	rows := make([]replica.Row, min(len(p.broadcasts), maxRowsPerDatagram))
	for i := range rows {
		rows[i] = p.broadcasts[i].row
		p.broadcasts[i].remaining--
	}
	p.broadcasts = slices.DeleteFunc(p.broadcasts, func(b broadcast) bool { return b.remaining <= 0 })
	return rows
}

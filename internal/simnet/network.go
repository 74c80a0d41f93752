package simnet

import "woodproxy/replica"

// maxReceived is the maximum number of packets queued for a paused process. Further packets are dropped, as with full
// socket buffers.
const maxReceived = 1000

// transport is the transport protocol of a message.
type transport int

const (
	datagram transport = iota // may be lost or duplicated
	stream                    // lost only if the link is cut in either direction
)

// message passes its content to the store of the receiving proxy and returns the store's decisions.
type message func(receiver *Proxy) []replica.Decision

// packet is a message in flight.
type packet struct {
	from, to int
	receive  message
}

// cut reports whether the network drops packets from one proxy to another.
func (f *Fleet) cut(from, to int) bool { return f.LinkCut != nil && f.LinkCut(from, to) }

// send puts a message on the network. It arrives in the next step at the earliest, unless the network loses it. A message
// to a proxy that does not run is dropped.
func (f *Fleet) send(from, to int, via transport, m message) {
	if f.cut(from, to) || via == stream && f.cut(to, from) || !f.Proxies[to].Running {
		return
	}
	copies := 1
	if via == datagram {
		if f.random.Float64() < f.Loss {
			copies = 0
		} else if f.random.Float64() < f.Duplication {
			copies = 2
		}
	}
	for range copies {
		arrival := f.step + 1 + f.random.IntN(f.MaxDelaySteps)
		f.inFlight[arrival] = append(f.inFlight[arrival], packet{from, to, m})
	}
}

// deliver delivers the packets that arrive in this step. A packet is dropped if its link has been cut or its receiver has
// been stopped since it was sent.
func (f *Fleet) deliver() {
	arrived := f.inFlight[f.step]
	delete(f.inFlight, f.step)
	for _, next := range arrived {
		p := f.Proxies[next.to]
		switch {
		case !p.Running || f.cut(next.from, next.to):
		case p.Paused:
			if len(p.received) < maxReceived {
				p.received = append(p.received, next)
			}
		default:
			f.apply(p, next.receive(p))
		}
	}
}

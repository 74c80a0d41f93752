package simnet

import "woodproxy/replica"

// maxReceived bounds the packets that are queued for a paused process; more are dropped, as by its socket buffers.
const maxReceived = 1000

// transport is how a message is sent.
type transport int

const (
	datagram transport = iota // may be lost or duplicated
	stream                    // only lost if the link is cut in one direction or the other
)

// message delivers itself to the proxy that receives it, and returns what that decides.
type message func(receiver *Proxy) []replica.Decision

// packet is a message on its way.
type packet struct {
	from, to int
	receive  message
}

// cut reports whether the network drops what one proxy sends to another.
func (f *Fleet) cut(from, to int) bool { return f.LinkCut != nil && f.LinkCut(from, to) }

// send puts a message on the network. It arrives in the next step at the earliest.
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

// deliver hands over the packets that arrive in this step. A link that was cut meanwhile drops them.
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

package gossip

import (
	"context"
	"sync/atomic"

	"github.com/hashicorp/memberlist"
)

const (
	senderWorkers       = 4
	senderQueueCapacity = 64 // messages

	// minStreamMessageLength is the length in bytes from which a message is always sent on a stream. Shorter messages fit
	// into a packet of one Ethernet frame.
	minStreamMessageLength = 1200
)

// delivery is the delivery guarantee of a message to a single proxy.
type delivery int

const (
	bestEffort delivery = iota // sent as a UDP packet if it fits into one, otherwise on a TCP stream
	reliable                   // sent on a TCP stream
)

// sender sends messages to single proxies. It sends packets immediately. Workers send messages on streams, as this may block
// until the peer responds.
type sender struct {
	members *memberlist.Memberlist
	dropped *atomic.Int64 // number of messages that could not be sent
	queue   chan streamMessage
}

// streamMessage is an encoded message that is queued for a worker.
type streamMessage struct {
	to      *memberlist.Node
	encoded []byte
}

func newSender(members *memberlist.Memberlist, dropped *atomic.Int64) *sender {
	return &sender{members: members, dropped: dropped, queue: make(chan streamMessage, senderQueueCapacity)}
}

// send sends a message to the latest process of a proxy without waiting. It ignores the message if no process of that proxy
// is a member. It drops and counts the message if the packet can't be sent or the queue for streams is full.
func (s *sender) send(proxy string, m *message, how delivery) {
	node := latestNode(s.members.Members(), proxy)
	if node == nil {
		return
	}
	encoded := m.encode()
	if how == bestEffort && len(encoded) < minStreamMessageLength {
		if err := s.members.SendBestEffort(node, encoded); err != nil {
			s.dropped.Add(1)
		}
		return
	}
	select {
	case s.queue <- streamMessage{to: node, encoded: encoded}:
	default:
		s.dropped.Add(1)
	}
}

// run is the loop of a worker. It sends queued messages on streams until the context is canceled.
func (s *sender) run(ctx context.Context) {
	for {
		select {
		case m := <-s.queue:
			if err := s.members.SendReliable(m.to, m.encoded); err != nil {
				s.dropped.Add(1)
			}
		case <-ctx.Done():
			return
		}
	}
}

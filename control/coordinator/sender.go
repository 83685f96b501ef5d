package coordinator

import (
	"context"
	"time"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/journal"
	"lentilwind.dev/lentilwind/protocol"
)

// Limits of sending messages to members.
const (
	sendQueueSize = 64
	sendTimeout   = time.Second
)

// peerSender sends the messages for one member, so that a member that does not answer delays no other.
type peerSender struct {
	address  string
	messages chan journal.Message
	cancel   context.CancelFunc
}

// envelope carries a message and the address at which its sender can be reached.
type envelope struct {
	Address string          `cbor:"1,keyasint"`
	Message journal.Message `cbor:"2,keyasint"`
}

// enqueue queues a message for its recipient. If the queue is full the message is dropped, and the replication protocol resends it.
func (c *Coordinator) enqueue(ctx context.Context, msg journal.Message) {
	address := c.observedAddresses[msg.To]
	if member, found := c.machine.Membership().Find(msg.To); found {
		address = member.Address
	}
	sender := c.senders[msg.To]
	if sender != nil && sender.address != address {
		sender.cancel()
		sender = nil
	}
	if sender == nil {
		if address == "" {
			return
		}
		sender = c.newPeerSender(ctx, address)
		c.senders[msg.To] = sender
	}
	select {
	case sender.messages <- msg:
	default:
	}
}

func (c *Coordinator) newPeerSender(ctx context.Context, address string) *peerSender {
	ctx, cancel := context.WithCancel(ctx)
	sender := &peerSender{address: address, messages: make(chan journal.Message, sendQueueSize), cancel: cancel}
	c.group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case msg := <-sender.messages:
				sending, done := context.WithTimeout(ctx, sendTimeout)
				err := c.cfg.Client.Send(sending, address, protocol.KindJournal, envelope{Address: c.cfg.Address, Message: msg})
				done()
				if err != nil {
					c.cfg.Log.Debug().Err(err).Str("address", address).Msg("journalMessageLost")
				}
			}
		}
	})
	return sender
}

// handleJournalMessage passes a message of another member to the state machine.
func (c *Coordinator) handleJournalMessage(ctx context.Context, _ inventory.InstanceName, received envelope) (struct{}, error) {
	deliver := func(now time.Time) []journal.Effect {
		if received.Message.To != c.store.Identity().Member {
			return nil
		}
		c.observedAddresses[received.Message.From] = received.Address
		return c.machine.Step(now, received.Message)
	}
	select {
	case c.tasks <- deliver:
	case <-ctx.Done():
	}
	return struct{}{}, nil
}

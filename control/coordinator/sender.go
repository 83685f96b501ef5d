package coordinator

import (
	"context"
	"time"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/journal"
	"lentilwind.dev/lentilwind/protocol"
)

// Times and sizes of sending.
const (
	courierQueue = 64
	sendTimeout  = time.Second
)

// courier sends the messages for one member, so that a member that does not answer holds up no other.
type courier struct {
	address  string
	messages chan journal.Message
	cancel   context.CancelFunc
}

// envelope carries a message with the address at which its sender is reached.
type envelope struct {
	Address string          `cbor:"1,keyasint"`
	Message journal.Message `cbor:"2,keyasint"`
}

// post queues a message; when the queue is full the message is lost, which the journal makes good.
func (c *Coordinator) post(ctx context.Context, msg journal.Message) {
	address := c.heard[msg.To]
	if member, found := c.machine.Membership().Find(msg.To); found {
		address = member.Address
	}
	cr := c.couriers[msg.To]
	if cr != nil && cr.address != address {
		cr.cancel()
		cr = nil
	}
	if cr == nil {
		if address == "" {
			return
		}
		cr = c.newCourier(ctx, address)
		c.couriers[msg.To] = cr
	}
	select {
	case cr.messages <- msg:
	default:
	}
}

func (c *Coordinator) newCourier(ctx context.Context, address string) *courier {
	ctx, cancel := context.WithCancel(ctx)
	cr := &courier{address: address, messages: make(chan journal.Message, courierQueue), cancel: cancel}
	c.group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case msg := <-cr.messages:
				sending, done := context.WithTimeout(ctx, sendTimeout)
				err := c.cfg.Client.Send(sending, address, protocol.KindJournal, envelope{Address: c.cfg.Address, Message: msg})
				done()
				if err != nil {
					c.cfg.Log.Debug().Err(err).Str("address", address).Msg("journalMessageLost")
				}
			}
		}
	})
	return cr
}

// onJournal takes a message of another member in.
func (c *Coordinator) onJournal(ctx context.Context, _ inventory.InstanceName, received envelope) (struct{}, error) {
	step := func(now time.Time) []journal.Effect {
		if received.Message.To != c.store.Identity().Member {
			return nil
		}
		c.heard[received.Message.From] = received.Address
		return c.machine.Step(now, received.Message)
	}
	select {
	case c.inputs <- step:
	case <-ctx.Done():
	}
	return struct{}{}, nil
}

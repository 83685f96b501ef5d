package replica

import (
	"context"
	"time"

	"lentilwind.dev/instance/identity"
	"lentilwind.dev/lentilwind/journal"
	"lentilwind.dev/lentilwind/protocol"
)

const (
	courierQueue = 64
	sendTimeout  = 2 * time.Second
)

// courier sends the messages for one member, so that a member that does not answer holds up no other.
type courier struct {
	address  string
	messages chan journal.Message
	cancel   context.CancelFunc
}

// post queues a message; when the queue is full the message is lost, which the journal makes good.
func (r *Replica) post(ctx context.Context, msg journal.Message) {
	member, found := r.machine.Membership().Find(msg.To)
	if !found {
		member = journal.Member{ID: msg.To, Address: r.addresses(msg.To)}
	}
	c := r.couriers[msg.To]
	if c != nil && member.Address != "" && c.address != member.Address {
		c.cancel()
		c = nil
	}
	if c == nil {
		if c = r.newCourier(ctx, member.Address); c == nil {
			return
		}
		r.couriers[msg.To] = c
	}
	select {
	case c.messages <- msg:
	default:
	}
}

// addresses finds the address of a member that this process has only heard from.
func (r *Replica) addresses(id journal.MemberID) string {
	if c := r.couriers[id]; c != nil {
		return c.address
	}
	return r.heard[id]
}

func (r *Replica) newCourier(ctx context.Context, address string) *courier {
	to, err := parseAddress(address)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	c := &courier{address: address, messages: make(chan journal.Message, courierQueue), cancel: cancel}
	r.group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case msg := <-c.messages:
				sending, done := context.WithTimeout(ctx, sendTimeout)
				if err := r.cfg.Endpoint.Send(sending, to, protocol.KindJournal, envelope{Address: r.cfg.Settings.AdvertisedPeerAddress(), Message: msg}); err != nil {
					r.cfg.Log.Debug().Err(err).Str("address", address).Msg("a journal message was not sent")
				}
				done()
			}
		}
	})
	return c
}

// envelope carries a message with the address at which its sender is reached.
type envelope struct {
	Address string          `cbor:"1,keyasint"`
	Message journal.Message `cbor:"2,keyasint"`
}

// onJournal takes a message of another member in.
func (r *Replica) onJournal(ctx context.Context, peer identity.Peer, request protocol.Frame) (any, error) {
	if peer.Role != identity.RoleControl {
		return nil, &protocol.Refusal{Code: protocol.CodeNotPermitted, Message: "only control processes may send journal messages"}
	}
	var received envelope
	if err := protocol.Decode(request.Body, &received); err != nil {
		return nil, err
	}
	msg := received.Message
	step := func(now time.Time) []journal.Effect {
		if member, found := r.machine.Membership().Find(msg.From); found && string(member.Name) != peer.Name {
			return nil
		}
		r.heard[msg.From] = received.Address
		return r.machine.Step(now, msg)
	}
	select {
	case r.inputs <- step:
	case <-ctx.Done():
	}
	return struct{}{}, nil
}

package replica

import (
	"context"
	"time"

	"lentilwind.dev/instance/identity"
	"lentilwind.dev/lentilwind/journal"
	"lentilwind.dev/lentilwind/protocol"
)

// Limits of sending messages to members.
const (
	sendQueueSize = 64
	sendTimeout   = 2 * time.Second
)

// peerSender sends the messages for one member, so that a member that does not answer delays no other.
type peerSender struct {
	address  string
	messages chan journal.Message
	cancel   context.CancelFunc
}

// enqueue queues a message for its recipient. If the queue is full the message is dropped, and the replication protocol resends it.
func (r *Replica) enqueue(ctx context.Context, msg journal.Message) {
	member, found := r.machine.Membership().Find(msg.To)
	if !found {
		member = journal.Member{ID: msg.To, Address: r.knownAddress(msg.To)}
	}
	sender := r.senders[msg.To]
	if sender != nil && member.Address != "" && sender.address != member.Address {
		sender.cancel()
		sender = nil
	}
	if sender == nil {
		if sender = r.newPeerSender(ctx, member.Address); sender == nil {
			return
		}
		r.senders[msg.To] = sender
	}
	select {
	case sender.messages <- msg:
	default:
	}
}

// knownAddress returns the address of a sender that is not in the membership that this process knows.
func (r *Replica) knownAddress(id journal.MemberID) string {
	if sender := r.senders[id]; sender != nil {
		return sender.address
	}
	return r.observedAddresses[id]
}

func (r *Replica) newPeerSender(ctx context.Context, address string) *peerSender {
	to, err := parseAddress(address)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	sender := &peerSender{address: address, messages: make(chan journal.Message, sendQueueSize), cancel: cancel}
	r.group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case msg := <-sender.messages:
				sending, done := context.WithTimeout(ctx, sendTimeout)
				if err := r.cfg.Endpoint.Send(sending, to, protocol.KindJournal, envelope{Address: r.cfg.Settings.AdvertisedPeerAddress(), Message: msg}); err != nil {
					r.cfg.Log.Debug().Err(err).Str("address", address).Msg("failed to send a journal message")
				}
				done()
			}
		}
	})
	return sender
}

// envelope carries a message and the address at which its sender can be reached.
type envelope struct {
	Address string          `cbor:"1,keyasint"`
	Message journal.Message `cbor:"2,keyasint"`
}

// handleJournalMessage passes a message of another member to the state machine.
func (r *Replica) handleJournalMessage(ctx context.Context, peer identity.Peer, request protocol.Frame) (any, error) {
	if peer.Role != identity.RoleControl {
		return nil, &protocol.Refusal{Code: protocol.CodeNotPermitted, Message: "only control processes may send journal messages"}
	}
	var received envelope
	if err := protocol.Decode(request.Body, &received); err != nil {
		return nil, err
	}
	msg := received.Message
	deliver := func(now time.Time) []journal.Effect {
		if member, found := r.machine.Membership().Find(msg.From); found && string(member.Name) != peer.Name {
			return nil
		}
		r.observedAddresses[msg.From] = received.Address
		return r.machine.Step(now, msg)
	}
	select {
	case r.tasks <- deliver:
	case <-ctx.Done():
	}
	return struct{}{}, nil
}

package coordinator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lentilwind.dev/instance/peer"
	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/policy"
	"lentilwind.dev/lentilwind/protocol"
)

// ErrUnavailable means that a request was not answered by a leader; it may be sent again.
var ErrUnavailable = errors.New("coordinator: no leader has answered")

// forwardTime bounds a call to the leader; callers of the operators' interface wait about a second.
const forwardTime = 800 * time.Millisecond

// RegisterHandlers sets the handlers of this process's calls.
func (c *Coordinator) RegisterHandlers(server *peer.Server) {
	server.Handle(protocol.KindJournal, peer.Typed(c.onJournal))
	server.Handle(protocol.KindDraw, peer.Typed(c.leader.onDraw))
	server.Handle(fleet.KindRenew, peer.Typed(c.leader.onRenew))
	server.Handle(fleet.KindRegister, peer.Typed(c.onRegister))
	server.Handle(fleet.KindAnnounce, peer.Typed(func(_ context.Context, _ inventory.InstanceName, s fleet.Server) (fleet.Empty, error) {
		if !c.leader.announce(s) {
			return fleet.Empty{}, c.notLeader()
		}
		return fleet.Empty{}, nil
	}))
	server.Handle(fleet.KindPropose, peer.Typed(func(ctx context.Context, _ inventory.InstanceName, d fleet.Document) (fleet.Empty, error) {
		return fleet.Empty{}, c.accept(ctx, d)
	}))
	server.Handle(fleet.KindDocument, peer.Typed(func(context.Context, inventory.InstanceName, fleet.Empty) (fleet.Document, error) {
		return c.newest()
	}))
}

// forward calls the leader that this process knows.
func (c *Coordinator) forward(ctx context.Context, kind protocol.Kind, request, reply any) error {
	address := c.leaderAddress()
	if address == "" {
		return ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTime)
	defer cancel()
	if err := c.cfg.Client.Call(ctx, address, kind, request, reply); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}

// Announce takes in what a database says of itself; nil means that the leader knows it.
func (c *Coordinator) Announce(ctx context.Context, s fleet.Server) error {
	if c.leader.announce(s) {
		return nil
	}
	return c.forward(ctx, fleet.KindAnnounce, s, &fleet.Empty{})
}

// Apply makes a configuration durable unless a newer one is; nil means that the newest one is at least this one.
func (c *Coordinator) Apply(ctx context.Context, version policy.Version, body []byte) error {
	document, err := fleet.CompressDocument(version, body)
	if err != nil {
		return err
	}
	if _, leads := c.leading(); leads {
		return c.accept(ctx, document)
	}
	return c.forward(ctx, fleet.KindPropose, document, &fleet.Empty{})
}

// accept journals a configuration as the leader.
func (c *Coordinator) accept(ctx context.Context, document fleet.Document) error {
	if _, leads := c.leading(); !leads {
		return c.notLeader()
	}
	if c.state.Load().Document.Version >= document.Version {
		// The lease still holds after the read, so no other leader has gone on without this one.
		if _, leads := c.leading(); leads {
			return nil
		}
		return c.notLeader()
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTime)
	defer cancel()
	if _, err := c.propose(ctx, command{Document: &document}); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	c.cfg.Log.Info().Uint64("version", uint64(document.Version)).Int("bytes", len(document.Body)).Msg("documentAccepted")
	return nil
}

// LatestDocument returns the newest configuration; an error means that it is not certain which one that is.
func (c *Coordinator) LatestDocument(ctx context.Context) (fleet.Document, error) {
	if document, err := c.newest(); err == nil {
		return document, nil
	}
	var document fleet.Document
	err := c.forward(ctx, fleet.KindDocument, fleet.Empty{}, &document)
	return document, err
}

func (c *Coordinator) newest() (fleet.Document, error) {
	if _, leads := c.leading(); !leads {
		return fleet.Document{}, c.notLeader()
	}
	document := c.state.Load().Document
	if _, leads := c.leading(); !leads {
		return fleet.Document{}, c.notLeader()
	}
	return document, nil
}

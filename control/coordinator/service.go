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

// ErrUnavailable means that no leader answered the request; it may be sent again.
var ErrUnavailable = errors.New("coordinator: no leader has answered")

// forwardTimeout limits a call to the leader; callers of the operators' interface wait about a second.
const forwardTimeout = 800 * time.Millisecond

// RegisterHandlers registers the handlers for calls from other processes.
func (c *Coordinator) RegisterHandlers(server *peer.Server) {
	server.Handle(protocol.KindJournal, peer.TypedHandler(c.handleJournalMessage))
	server.Handle(protocol.KindDraw, peer.TypedHandler(c.leader.handleDraw))
	server.Handle(fleet.KindRenew, peer.TypedHandler(c.leader.handleRenew))
	server.Handle(fleet.KindRegister, peer.TypedHandler(c.handleRegister))
	server.Handle(fleet.KindControls, peer.TypedHandler(c.handleControls))
	server.Handle(fleet.KindAnnounce, peer.TypedHandler(func(ctx context.Context, _ inventory.InstanceName, s fleet.Server) (fleet.Empty, error) {
		if err := s.Check(); err != nil {
			return fleet.Empty{}, &protocol.Refusal{Code: protocol.CodeInvalid, Message: err.Error()}
		}
		err := c.leader.announceServer(ctx, s)
		if errors.Is(err, errNotLeading) {
			return fleet.Empty{}, c.notLeaderRefusal()
		}
		return fleet.Empty{}, err
	}))
	server.Handle(fleet.KindPropose, peer.TypedHandler(func(ctx context.Context, _ inventory.InstanceName, d fleet.Document) (fleet.Empty, error) {
		return fleet.Empty{}, c.acceptDocument(ctx, d)
	}))
	server.Handle(fleet.KindEvacuate, peer.TypedHandler(func(ctx context.Context, _ inventory.InstanceName, order fleet.EvacuationOrder) (fleet.Empty, error) {
		return fleet.Empty{}, c.acceptEvacuation(ctx, order)
	}))
	server.Handle(fleet.KindDocument, peer.TypedHandler(func(context.Context, inventory.InstanceName, fleet.Empty) (fleet.Document, error) {
		return c.latestDocument()
	}))
}

// forwardToLeader calls the last known leader.
func (c *Coordinator) forwardToLeader(ctx context.Context, kind protocol.Kind, request, reply any) error {
	address := c.leaderAddress()
	if address == "" {
		return ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if err := c.cfg.Client.Call(ctx, address, kind, request, reply); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}

// Announce passes a database's announcement to the leader; a nil error means that the leader has recorded it, and protocol.ErrInvalidAnnouncement
// that it can't be recorded.
//
// A database that leaves waits for the acknowledgement and stops without one if none comes. So its announcement waits for the next leader,
// while others are repeated anyway.
func (c *Coordinator) Announce(ctx context.Context, s fleet.Server) error {
	if err := s.Check(); err != nil {
		return err
	}
	if !s.Leaving {
		return c.announceOnce(ctx, s)
	}
	ctx, cancel := context.WithTimeout(ctx, leavingTimeout)
	defer cancel()
	for {
		changed := c.changed.watch()
		err := c.announceOnce(ctx, s)
		if err == nil {
			return nil
		}
		select {
		case <-changed:
		case <-time.After(leavingRetryInterval):
		case <-ctx.Done():
			return err
		}
	}
}

// Databases wait a second for an acknowledgement.
const (
	// leavingTimeout limits the time in which it is acknowledged that a database leaves.
	leavingTimeout = 800 * time.Millisecond
	// leavingRetryInterval is the longest time until the leader is asked again.
	leavingRetryInterval = 50 * time.Millisecond
)

func (c *Coordinator) announceOnce(ctx context.Context, s fleet.Server) error {
	if err := c.leader.announceServer(ctx, s); !errors.Is(err, errNotLeading) {
		return err
	}
	return c.forwardToLeader(ctx, fleet.KindAnnounce, s, &fleet.Empty{})
}

// Apply stores a configuration unless a newer one is stored; a nil error means that the stored one is at least this version.
func (c *Coordinator) Apply(ctx context.Context, version policy.Version, body []byte) error {
	document, err := fleet.CompressDocument(version, body)
	if err != nil {
		return err
	}
	if _, leads := c.leading(); leads {
		return c.acceptDocument(ctx, document)
	}
	return c.forwardToLeader(ctx, fleet.KindPropose, document, &fleet.Empty{})
}

// acceptDocument proposes a configuration as the leader.
func (c *Coordinator) acceptDocument(ctx context.Context, document fleet.Document) error {
	if _, leads := c.leading(); !leads {
		return c.notLeaderRefusal()
	}
	if c.state.Load().Document.Version >= document.Version {
		// The lease still holds after the read, so no other leader has stored a newer document.
		if _, leads := c.leading(); leads {
			return nil
		}
		return c.notLeaderRefusal()
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := c.propose(ctx, command{Document: &document}); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	c.cfg.Log.Info().Uint64("version", uint64(document.Version)).Int("bytes", len(document.Body)).Msg("documentAccepted")
	return nil
}

// LatestDocument returns the latest configuration; an error means that it could not be confirmed as the latest.
func (c *Coordinator) LatestDocument(ctx context.Context) (fleet.Document, error) {
	if document, err := c.latestDocument(); err == nil {
		return document, nil
	}
	var document fleet.Document
	err := c.forwardToLeader(ctx, fleet.KindDocument, fleet.Empty{}, &document)
	return document, err
}

func (c *Coordinator) latestDocument() (fleet.Document, error) {
	if _, leads := c.leading(); !leads {
		return fleet.Document{}, c.notLeaderRefusal()
	}
	document := c.state.Load().Document
	if _, leads := c.leading(); !leads {
		return fleet.Document{}, c.notLeaderRefusal()
	}
	return document, nil
}

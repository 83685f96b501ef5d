package replica

import (
	"context"
	"fmt"
	"time"

	"lentilwind.dev/instance/events"
	"lentilwind.dev/lentilwind/catalog"
	"lentilwind.dev/lentilwind/journal"
	"lentilwind.dev/lentilwind/protocol"
)

// applyEffects makes the state durable first and then applies the other effects in order.
func (r *Replica) applyEffects(ctx context.Context, effects []journal.Effect) error {
	for len(effects) > 0 {
		if err := r.persist(effects); err != nil {
			return err
		}
		r.publishView()
		var more []journal.Effect
		for _, effect := range effects {
			next, err := r.applyEffect(ctx, effect)
			if err != nil {
				return err
			}
			more = append(more, next...)
		}
		effects = more
	}
	r.publishView()
	return nil
}

func (r *Replica) persist(effects []journal.Effect) error {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case journal.Save:
			r.store.Save(effect)
		case journal.SaveSnapshot:
			if err := r.store.SaveSnapshot(effect); err != nil {
				return err
			}
		}
	}
	return r.store.Sync()
}

func (r *Replica) applyEffect(ctx context.Context, effect journal.Effect) ([]journal.Effect, error) {
	switch effect := effect.(type) {
	case journal.Send:
		r.enqueue(ctx, effect.Message)
	case journal.Apply:
		return nil, r.applyEntries(effect.Entries)
	case journal.Restore:
		return nil, r.installSnapshot(effect.Snapshot)
	case journal.TakeSnapshot:
		return r.takeSnapshot()
	case journal.LeaderChange:
		r.onLeaderChange(effect)
	}
	return nil, nil
}

func (r *Replica) applyEntries(entries []journal.Entry) error {
	for _, entry := range entries {
		switch entry.Kind {
		case journal.EntryCommand:
			if err := r.applyCommand(entry); err != nil {
				return err
			}
		case journal.EntryMembership:
			r.cfg.Events.Record(events.Event{Kind: events.KindMembersChanged, Term: uint64(entry.Term)})
			r.completeProposal(entry, catalog.Result{Outcome: catalog.OutcomeAccepted})
		case journal.EntryNoOp:
			r.completeProposal(entry, catalog.Result{})
		}
		r.applied = entry.Index
	}
	return nil
}

func (r *Replica) applyCommand(entry journal.Entry) error {
	var command catalog.Command
	if err := protocol.Decode(entry.Data, &command); err != nil {
		return fmt.Errorf("replica: entry %d: %w", entry.Index, err)
	}
	before := r.state.Load()
	after, result := before.Apply(entry.Index, command)
	if result.Outcome == catalog.OutcomeUnreadable {
		return fmt.Errorf("replica: this build cannot read entry %d, which another one accepted; upgrade it: %s", entry.Index, result.Message)
	}
	r.state.Store(after)
	if after.Revision() != before.Revision() {
		r.cfg.Events.Record(events.Event{
			Kind: events.KindInventoryChanged, Revision: uint64(after.Revision()), Term: uint64(entry.Term),
		})
	}
	r.completeProposal(entry, result)
	r.changed.notify()
	return nil
}

func (r *Replica) installSnapshot(snapshot journal.Snapshot) error {
	if err := r.restoreState(snapshot); err != nil {
		return err
	}
	r.cfg.Log.Info().Uint64("index", uint64(snapshot.Index)).Msg("restored the state from a snapshot")
	r.changed.notify()
	return nil
}

func (r *Replica) takeSnapshot() ([]journal.Effect, error) {
	data, err := r.state.Load().Snapshot()
	if err != nil {
		return nil, fmt.Errorf("replica: %w", err)
	}
	effects := r.machine.Compact(r.applied, data)
	if len(effects) > 0 {
		detail := fmt.Sprintf("index %d, %d bytes", r.applied, len(data))
		r.cfg.Events.Record(events.Event{Kind: events.KindSnapshotTaken, Detail: detail})
	}
	return effects, nil
}

func (r *Replica) onLeaderChange(change journal.LeaderChange) {
	self := r.store.Identity().Member
	previousLeader := r.view.Load().leader
	name := ""
	if member, found := r.machine.Membership().Find(change.Leader); found {
		name = string(member.Name)
	}
	switch {
	case change.Leader == self:
		r.cfg.Events.Record(events.Event{Kind: events.KindLeaderElected, Term: uint64(change.Term), Detail: name})
	case previousLeader == self:
		r.cfg.Events.Record(events.Event{Kind: events.KindLeaderLost, Term: uint64(change.Term)})
	}
	if change.Leader != self {
		r.failPending()
	}
	r.cfg.Log.Info().Uint64("term", uint64(change.Term)).Str("leader", name).Msg("the leader changed")
}

// publishView updates the view for readers outside the loop. It runs before any message is sent, so that an expired lease is no
// longer visible by then.
func (r *Replica) publishView() {
	now := time.Now()
	until, _ := r.machine.Lease(now)
	next := &view{
		term:       r.machine.Term(),
		leader:     r.machine.Leader(),
		membership: r.machine.Membership(),
	}
	if r.applied >= r.machine.TermStart() {
		next.leaseUntil = until
	}
	previous := r.view.Swap(next)
	if previous.leader != next.leader || previous.leaseUntil.IsZero() != next.leaseUntil.IsZero() || previous.term != next.term {
		r.changed.notify()
	}
}

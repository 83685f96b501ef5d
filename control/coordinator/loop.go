package coordinator

import (
	"context"
	"fmt"
	"time"

	"lentilwind.dev/lentilwind/journal"
	"lentilwind.dev/lentilwind/protocol"
)

// runLoop runs tasks and timers of the state machine until the context ends.
func (c *Coordinator) runLoop(ctx context.Context) error {
	running, stop := context.WithCancel(ctx)
	defer stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var effects []journal.Effect
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case in := <-c.tasks:
			effects = c.runBatch(in)
		}
		if c.members.replacedMember.Swap(0) == uint64(c.store.Identity().Member) {
			return errReplaced
		}
		now := c.cfg.Now()
		if !now.Before(c.machine.Deadline()) {
			effects = append(effects, c.machine.Tick(now)...)
		}
		if err := c.applyEffects(running, effects); err != nil {
			return err
		}
		timer.Reset(max(time.Millisecond, c.machine.Deadline().Sub(c.cfg.Now())))
	}
}

// runBatch also runs the tasks that are already queued, so that they share one disk sync.
func (c *Coordinator) runBatch(first task) []journal.Effect {
	effects := first(c.cfg.Now())
	for range maxBatch {
		select {
		case in := <-c.tasks:
			effects = append(effects, in(c.cfg.Now())...)
		default:
			return effects
		}
	}
	return effects
}

// applyEffects makes the state durable first and then applies the other effects in order.
func (c *Coordinator) applyEffects(ctx context.Context, effects []journal.Effect) error {
	for len(effects) > 0 {
		if err := c.persist(effects); err != nil {
			return err
		}
		c.publishView(c.cfg.Now())
		var more []journal.Effect
		for _, effect := range effects {
			next, err := c.applyEffect(ctx, effect)
			if err != nil {
				return err
			}
			more = append(more, next...)
		}
		effects = more
	}
	c.publishView(c.cfg.Now())
	return nil
}

func (c *Coordinator) persist(effects []journal.Effect) error {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case journal.Save:
			c.store.Save(effect)
		case journal.SaveSnapshot:
			if err := c.store.SaveSnapshot(effect); err != nil {
				return fmt.Errorf("%w: %w", errDisk, err)
			}
		}
	}
	if err := c.store.Sync(); err != nil {
		return fmt.Errorf("%w: %w", errDisk, err)
	}
	if c.diskFailed {
		c.diskFailed = false
		c.cfg.Log.Info().Str("dependency", "disk").Msg("dependencyRegained")
	}
	return nil
}

func (c *Coordinator) applyEffect(ctx context.Context, effect journal.Effect) ([]journal.Effect, error) {
	switch effect := effect.(type) {
	case journal.Send:
		c.enqueue(ctx, effect.Message)
	case journal.Apply:
		return nil, c.applyEntries(effect.Entries)
	case journal.Restore:
		restored, err := decodeState(effect.Snapshot.Data)
		if err != nil {
			return nil, err
		}
		c.setState(restored)
		c.applied = effect.Snapshot.Index
		c.changed.notify()
	case journal.TakeSnapshot:
		data, err := protocol.Encode(c.state.Load())
		if err != nil {
			return nil, err
		}
		return c.machine.Compact(c.applied, data), nil
	case journal.LeaderChange:
		c.onLeaderChange(effect)
	}
	return nil, nil
}

func (c *Coordinator) applyEntries(entries []journal.Entry) error {
	for _, entry := range entries {
		if entry.Kind == journal.EntryCommand {
			var cmd command
			if err := protocol.Decode(entry.Data, &cmd); err != nil {
				return fmt.Errorf("coordinator: entry %d: %w", entry.Index, err)
			}
			c.setState(c.state.Load().apply(entry.Index, cmd))
		}
		c.applied = entry.Index
		c.completeProposal(entry)
	}
	c.changed.notify()
	return nil
}

// setState replaces the replicated state and decodes the policy if the document is new.
func (c *Coordinator) setState(next *state) {
	before := c.state.Swap(next)
	if next.Document.Version == 0 || next.Document.Version == before.Document.Version {
		return
	}
	decoded, err := c.cfg.DecodePolicy(next.Document)
	if err != nil {
		c.cfg.Log.Error().Err(err).Uint64("version", uint64(next.Document.Version)).Msg("documentUnreadable")
		return
	}
	c.policy.Store(decoded)
	c.cfg.Log.Info().Uint64("version", uint64(next.Document.Version)).Msg("documentApplied")
}

func (c *Coordinator) onLeaderChange(change journal.LeaderChange) {
	self := c.store.Identity().Member
	if change.Leader != self {
		c.failPending()
	}
	name := ""
	if member, found := c.machine.Membership().Find(change.Leader); found {
		name = string(member.Name)
	}
	c.cfg.Log.Info().Uint64("term", uint64(change.Term)).Str("leader", name).Bool("self", change.Leader == self).Msg("leaderChanged")
}

// publishView updates the view for readers outside the loop.
func (c *Coordinator) publishView(now time.Time) {
	until, _ := c.machine.Lease(now)
	next := &view{
		self: c.store.Identity().Member, term: c.machine.Term(), leader: c.machine.Leader(), membership: c.machine.Membership(),
		allCommitted: c.machine.CommitIndex() == c.machine.LastIndex(),
		fresh:        c.machine.LastIndex() == 0 && len(c.machine.Membership().Members) == 0,
	}
	next.reachableVoters = c.countReachableVoters(now, next)
	if member, found := next.membership.Find(next.leader); found {
		next.leaderAddress = member.Address
	} else {
		next.leaderAddress = c.observedAddresses[next.leader]
	}
	if next.leader == next.self && c.applied >= c.machine.TermStart() && c.machine.TermStart() > 0 {
		next.leaseUntil = until
	}
	before := c.view.Swap(next)
	if before.leader != next.leader || before.term != next.term || before.leaseUntil.IsZero() != next.leaseUntil.IsZero() {
		c.changed.notify()
	}
}

// reachableWithin is how recently a member must have answered its leader to count as reachable.
const reachableWithin = time.Second

// countReachableVoters counts the voters that recently answered the leader, itself included.
func (c *Coordinator) countReachableVoters(now time.Time, v *view) int {
	if v.leader != v.self {
		return 0
	}
	n := 1
	for _, p := range c.machine.Progress() {
		if !p.Member.Learner && now.Sub(p.LastContact) < reachableWithin {
			n++
		}
	}
	return n
}

// leading returns the term and whether this process holds the leader lease, so that no other process can lead.
func (c *Coordinator) leading() (journal.Term, bool) { return c.leadingAt(c.cfg.Now()) }

func (c *Coordinator) leadingAt(now time.Time) (journal.Term, bool) {
	v := c.view.Load()
	return v.term, now.Before(v.leaseUntil)
}

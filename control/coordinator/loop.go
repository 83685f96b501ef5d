package coordinator

import (
	"context"
	"fmt"
	"time"

	"lentilwind.dev/lentilwind/journal"
	"lentilwind.dev/lentilwind/protocol"
)

// loop feeds the machine until the context ends.
func (c *Coordinator) loop(ctx context.Context) error {
	running, stop := context.WithCancel(ctx)
	defer stop()
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		var effects []journal.Effect
		select {
		case <-ctx.Done():
			return nil
		case <-alarm.C:
		case in := <-c.inputs:
			effects = c.batch(in)
		}
		if c.members.replaced.Swap(0) == uint64(c.store.Identity().Member) {
			return errReplaced
		}
		now := c.cfg.Now()
		if !now.Before(c.machine.Deadline()) {
			effects = append(effects, c.machine.Tick(now)...)
		}
		if err := c.carryOut(running, effects); err != nil {
			return err
		}
		alarm.Reset(max(time.Millisecond, c.machine.Deadline().Sub(c.cfg.Now())))
	}
}

// batch takes further inputs that are there, so that they share one sync.
func (c *Coordinator) batch(first input) []journal.Effect {
	effects := first(c.cfg.Now())
	for range maxBatch {
		select {
		case in := <-c.inputs:
			effects = append(effects, in(c.cfg.Now())...)
		default:
			return effects
		}
	}
	return effects
}

// carryOut makes promises durable first and then does the other effects in their order.
func (c *Coordinator) carryOut(ctx context.Context, effects []journal.Effect) error {
	for len(effects) > 0 {
		if err := c.persist(effects); err != nil {
			return err
		}
		c.publish(c.cfg.Now())
		var more []journal.Effect
		for _, effect := range effects {
			next, err := c.act(ctx, effect)
			if err != nil {
				return err
			}
			more = append(more, next...)
		}
		effects = more
	}
	c.publish(c.cfg.Now())
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

func (c *Coordinator) act(ctx context.Context, effect journal.Effect) ([]journal.Effect, error) {
	switch effect := effect.(type) {
	case journal.Send:
		c.post(ctx, effect.Message)
	case journal.Apply:
		return nil, c.apply(effect.Entries)
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
		c.onLead(effect)
	}
	return nil, nil
}

func (c *Coordinator) apply(entries []journal.Entry) error {
	for _, entry := range entries {
		if entry.Kind == journal.EntryCommand {
			var cmd command
			if err := protocol.Decode(entry.Data, &cmd); err != nil {
				return fmt.Errorf("coordinator: entry %d: %w", entry.Index, err)
			}
			c.setState(c.state.Load().apply(entry.Index, cmd))
		}
		c.applied = entry.Index
		c.resolve(entry)
	}
	c.changed.notify()
	return nil
}

// setState makes a state current, with the policy that its document describes.
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

func (c *Coordinator) onLead(lead journal.LeaderChange) {
	self := c.store.Identity().Member
	if lead.Leader != self {
		c.failWaiters()
	}
	name := ""
	if member, found := c.machine.Membership().Find(lead.Leader); found {
		name = string(member.Name)
	}
	c.cfg.Log.Info().Uint64("term", uint64(lead.Term)).Str("leader", name).Bool("self", lead.Leader == self).Msg("leaderChanged")
}

// publish makes what others may read current.
func (c *Coordinator) publish(now time.Time) {
	until, _ := c.machine.Lease(now)
	next := &view{
		self: c.store.Identity().Member, term: c.machine.Term(), leader: c.machine.Leader(), membership: c.machine.Membership(),
		settled: c.machine.CommitIndex() == c.machine.LastIndex(),
		fresh:   c.machine.LastIndex() == 0 && len(c.machine.Membership().Members) == 0,
	}
	next.answering = c.answering(now, next)
	if member, found := next.membership.Find(next.leader); found {
		next.address = member.Address
	} else {
		next.address = c.heard[next.leader]
	}
	if next.leader == next.self && c.applied >= c.machine.TermStart() && c.machine.TermStart() > 0 {
		next.until = until
	}
	before := c.view.Swap(next)
	if before.leader != next.leader || before.term != next.term || before.until.IsZero() != next.until.IsZero() {
		c.changed.notify()
	}
}

// answeringWithin is how lately a member must have answered its leader to count as being there.
const answeringWithin = time.Second

// answering counts the voters that a leader has heard lately, itself included.
func (c *Coordinator) answering(now time.Time, v *view) int {
	if v.leader != v.self {
		return 0
	}
	n := 1
	for _, p := range c.machine.Progress() {
		if !p.Member.Learner && now.Sub(p.LastContact) < answeringWithin {
			n++
		}
	}
	return n
}

// leading tells whether this process is the leader now and no other one can be.
func (c *Coordinator) leading() (journal.Term, bool) {
	v := c.view.Load()
	return v.term, c.cfg.Now().Before(v.until)
}

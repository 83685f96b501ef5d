package failover

import (
	"context"

	"lentilwind.dev/control/internal/monitor"
	"lentilwind.dev/instance/events"
	"lentilwind.dev/lentilwind/catalog"
	"lentilwind.dev/lentilwind/failover"
	"lentilwind.dev/lentilwind/group"
)

// action is the kind of a request to a database or to the replicated log.
type action string

const (
	actionJournal action = "journal"
	actionFence   action = "fence"
	actionWait    action = "wait"
	actionPromote action = "promote"
	actionFollow  action = "follow"
)

// requestKey identifies a request in flight; the machine's retries are dropped until it has returned.
type requestKey struct {
	group  group.ID
	server group.Server
	action action
	term   group.Term
}

// applyEffects applies the effects of a machine in order; the caller holds the lock.
func (l *leadership) applyEffects(g *managedGroup, effects []failover.Effect) {
	for _, effect := range effects {
		l.applyEffect(g, effect)
	}
	if g.machine.NextTick().IsZero() {
		delete(l.ticking, g.id)
		return
	}
	l.ticking[g.id] = g
}

func (l *leadership) applyEffect(g *managedGroup, effect failover.Effect) {
	id := g.id
	switch e := effect.(type) {
	case failover.Publish:
		g.publishedVersion = l.cfg.Roster.SetGroup(l.now, e.Configuration)
		l.recordPublished(id, e.Configuration)
	case failover.Note:
		l.recordNote(id, e)
	case failover.Journal:
		g.proposed = e.Next
		l.runOnce(requestKey{id, e.Next.Primary, actionJournal, e.Next.Term}, func() failover.Event { return l.propose(e) })
	case failover.Fence:
		l.request(requestKey{id, e.Server, actionFence, e.Term}, func(target monitor.Target) failover.Event {
			a := l.cfg.Monitor.Fence(l.ctx, target, id.Slot, e.Term)
			return failover.FenceResult{Server: e.Server, Term: e.Term, Outcome: a.Outcome, Status: a.Status}
		})
	case failover.Wait:
		l.request(requestKey{id, e.Server, actionWait, e.Term}, func(target monitor.Target) failover.Event {
			a := l.cfg.Monitor.Wait(l.ctx, target, id.Slot, e.Position, e.Timeout)
			return failover.WaitResult{Server: e.Server, Term: e.Term, Outcome: a.Outcome, Status: a.Status}
		})
	case failover.Promote:
		l.request(requestKey{id, e.Server, actionPromote, e.Term}, func(target monitor.Target) failover.Event {
			a := l.cfg.Monitor.Promote(l.ctx, target, id.Slot, e.Term, e.Position)
			return failover.PromoteResult{Server: e.Server, Term: e.Term, Outcome: a.Outcome, Status: a.Status}
		})
	case failover.Follow:
		l.request(requestKey{id, e.Server, actionFollow, e.Term}, func(target monitor.Target) failover.Event {
			a := l.cfg.Monitor.Follow(l.ctx, target, id.Slot, e.Term, e.Address)
			return failover.FollowResult{Server: e.Server, Term: e.Term, Outcome: a.Outcome}
		})
	}
}

// monitorTarget returns the address from a server's last announcement.
func (l *leadership) monitorTarget(id group.ServerID) (monitor.Target, bool) {
	server, found := l.cfg.Roster.Server(id)
	if !found || server.LastAnnouncement.Address == "" {
		return monitor.Target{}, false
	}
	return monitor.Target{ID: id, Address: server.LastAnnouncement.Address}, true
}

// request sends a request to a database; if its address is unknown, the machine retries later.
func (l *leadership) request(c requestKey, run func(monitor.Target) failover.Event) {
	target, found := l.monitorTarget(group.ServerID{Service: c.group.Service, Server: c.server})
	if !found {
		return
	}
	l.runOnce(c, func() failover.Event { return run(target) })
}

// runOnce runs a request without the lock, unless the same one is in flight.
func (l *leadership) runOnce(c requestKey, run func() failover.Event) {
	if _, running := l.inFlight[c]; running {
		return
	}
	l.inFlight[c] = struct{}{}
	l.spawn(func() {
		event := run()
		l.mu.Lock()
		delete(l.inFlight, c)
		l.mu.Unlock()
		l.deliver(c.group, event)
	})
}

// spawn runs a function in a goroutine that the end of the leadership waits for; the caller holds the lock.
func (l *leadership) spawn(run func()) {
	if l.ended {
		return
	}
	l.work.Add(1)
	go func() {
		defer l.work.Done()
		run()
	}()
}

// propose records a configuration in the replicated log; after an error the outcome is unknown.
func (l *leadership) propose(e failover.Journal) failover.Event {
	ctx, cancel := context.WithTimeout(l.ctx, proposeTimeout)
	defer cancel()
	change := &catalog.SetGroup{ExpectedTerm: e.Expect, Configuration: e.Next}
	if primary, found := l.monitorTarget(group.ServerID{Service: e.Next.Group.Service, Server: e.Next.Primary}); found {
		change.Address = primary.Address
	}
	command := catalog.Command{SetGroup: change}
	result, err := l.cfg.Ledger.Propose(ctx, command)
	if err != nil || result.Configuration == nil {
		return failover.JournalResult{Outcome: failover.OutcomeUnknown}
	}
	return failover.JournalResult{Outcome: failover.OutcomeDone, Current: *result.Configuration}
}

// eventKinds maps notes to event kinds.
var eventKinds = map[failover.NoteKind]events.Kind{
	failover.NoteTermBegun:       events.KindTermBegun,
	failover.NoteMemberFenced:    events.KindMemberFenced,
	failover.NotePrimaryPromoted: events.KindPrimaryPromoted,
	failover.NoteFailoverRefused: events.KindFailoverRefused,
}

// recordNote records and logs a step of a failover.
func (l *leadership) recordNote(id group.ID, note failover.Note) {
	l.recordEvent(eventKinds[note.Kind], id, note.Server, note.Term, note.Detail)
	l.cfg.Log.Info().Str("group", id.String()).Str("server", string(note.Server)).Uint64("term", uint64(note.Term)).
		Str("detail", note.Detail).Msg(string(note.Kind))
}

func (l *leadership) recordPublished(id group.ID, configuration group.Configuration) {
	if configuration.Primary != "" {
		l.recordEvent(events.KindPrimaryPublished, id, configuration.Primary, configuration.Term, "")
	}
}

func (l *leadership) recordEvent(kind events.Kind, id group.ID, server group.Server, term group.Term, detail string) {
	slot := uint16(id.Slot)
	l.cfg.Events.Record(events.Event{
		Kind: kind, Service: string(id.Service), Slot: &slot,
		Server: string(server), Term: uint64(term), Detail: detail,
	})
}

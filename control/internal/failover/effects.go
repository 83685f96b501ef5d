package failover

import (
	"context"

	"lentilwind.dev/control/internal/monitor"
	"lentilwind.dev/instance/events"
	"lentilwind.dev/lentilwind/catalog"
	"lentilwind.dev/lentilwind/failover"
	"lentilwind.dev/lentilwind/group"
)

// action names a kind of request to a database or the journal.
type action string

const (
	actionJournal action = "journal"
	actionFence   action = "fence"
	actionWait    action = "wait"
	actionPromote action = "promote"
	actionFollow  action = "follow"
)

// call names a request that is under way; the machine's retries of it are dropped until it has ended.
type call struct {
	group  group.ID
	server group.Server
	action action
	term   group.Term
}

// perform carries out the effects of a machine in their order; the lock is held.
func (l *leadership) perform(g *managed, effects []failover.Effect) {
	for _, effect := range effects {
		l.performOne(g, effect)
	}
	if g.machine.NextTick().IsZero() {
		delete(l.awake, g.id)
		return
	}
	l.awake[g.id] = g
}

func (l *leadership) performOne(g *managed, effect failover.Effect) {
	id := g.id
	switch e := effect.(type) {
	case failover.Publish:
		g.published = l.cfg.Roster.SetGroup(l.now, e.Configuration)
		l.notePublished(id, e.Configuration)
	case failover.Note:
		l.note(id, e)
	case failover.Journal:
		g.appointed = e.Next
		l.once(call{id, e.Next.Primary, actionJournal, e.Next.Term}, func() failover.Event { return l.propose(e) })
	case failover.Fence:
		l.ask(call{id, e.Server, actionFence, e.Term}, func(target monitor.Target) failover.Event {
			a := l.cfg.Monitor.Fence(l.ctx, target, id.Slot, e.Term)
			return failover.FenceResult{Server: e.Server, Term: e.Term, Outcome: a.Outcome, Status: a.Status}
		})
	case failover.Wait:
		l.ask(call{id, e.Server, actionWait, e.Term}, func(target monitor.Target) failover.Event {
			a := l.cfg.Monitor.Wait(l.ctx, target, id.Slot, e.Position, e.Timeout)
			return failover.WaitResult{Server: e.Server, Term: e.Term, Outcome: a.Outcome, Status: a.Status}
		})
	case failover.Promote:
		l.ask(call{id, e.Server, actionPromote, e.Term}, func(target monitor.Target) failover.Event {
			a := l.cfg.Monitor.Promote(l.ctx, target, id.Slot, e.Term, e.Position)
			return failover.PromoteResult{Server: e.Server, Term: e.Term, Outcome: a.Outcome, Status: a.Status}
		})
	case failover.Follow:
		l.ask(call{id, e.Server, actionFollow, e.Term}, func(target monitor.Target) failover.Event {
			a := l.cfg.Monitor.Follow(l.ctx, target, id.Slot, e.Term, e.Address)
			return failover.FollowResult{Server: e.Server, Term: e.Term, Outcome: a.Outcome}
		})
	}
}

// target returns where a server can be reached.
func (l *leadership) target(id group.ServerID) (monitor.Target, bool) {
	server, found := l.cfg.Roster.Server(id)
	if !found || server.LastAnnouncement.Address == "" {
		return monitor.Target{}, false
	}
	return monitor.Target{ID: id, Address: server.LastAnnouncement.Address}, true
}

// ask sends a request to a database whose address is known; without one, the machine tries again later.
func (l *leadership) ask(c call, run func(monitor.Target) failover.Event) {
	target, found := l.target(group.ServerID{Service: c.group.Service, Server: c.server})
	if !found {
		return
	}
	l.once(c, func() failover.Event { return run(target) })
}

// once runs a request beside the lock, unless the same one is under way.
func (l *leadership) once(c call, run func() failover.Event) {
	if _, running := l.inFlight[c]; running {
		return
	}
	l.inFlight[c] = struct{}{}
	l.spawn(func() {
		event := run()
		l.mu.Lock()
		delete(l.inFlight, c)
		l.mu.Unlock()
		l.receive(c.group, event)
	})
}

// spawn runs a function until the end of the leadership at the latest; the lock is held.
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

// propose journals a configuration; an error says nothing about what becomes of it.
func (l *leadership) propose(e failover.Journal) failover.Event {
	ctx, cancel := context.WithTimeout(l.ctx, proposeTimeout)
	defer cancel()
	change := &catalog.SetGroup{Expect: e.Expect, Configuration: e.Next}
	if primary, found := l.target(group.ServerID{Service: e.Next.Group.Service, Server: e.Next.Primary}); found {
		change.Address = primary.Address
	}
	command := catalog.Command{SetGroup: change}
	result, err := l.cfg.Ledger.Propose(ctx, command)
	if err != nil || result.Configuration == nil {
		return failover.JournalResult{Outcome: failover.OutcomeUnknown}
	}
	return failover.JournalResult{Outcome: failover.OutcomeDone, Current: *result.Configuration}
}

// kindOf gives the event for each note.
var kindOf = map[failover.NoteKind]events.Kind{
	failover.NoteTermBegun:       events.KindTermBegun,
	failover.NoteMemberFenced:    events.KindMemberFenced,
	failover.NotePrimaryPromoted: events.KindPrimaryPromoted,
	failover.NoteFailoverRefused: events.KindFailoverRefused,
}

// note writes a step of a failover to the time line.
func (l *leadership) note(id group.ID, note failover.Note) {
	l.record(kindOf[note.Kind], id, note.Server, note.Term, note.Detail)
	l.cfg.Log.Info().Str("group", id.String()).Str("server", string(note.Server)).Uint64("term", uint64(note.Term)).
		Str("detail", note.Detail).Msg(string(note.Kind))
}

func (l *leadership) notePublished(id group.ID, configuration group.Configuration) {
	if configuration.Primary != "" {
		l.record(events.KindPrimaryPublished, id, configuration.Primary, configuration.Term, "")
	}
}

func (l *leadership) record(kind events.Kind, id group.ID, server group.Server, term group.Term, detail string) {
	slot := uint16(id.Slot)
	l.cfg.Events.Record(events.Event{
		Kind: kind, Service: string(id.Service), Slot: &slot,
		Server: string(server), Term: uint64(term), Detail: detail,
	})
}

package failover

import (
	"time"

	"lentilwind.dev/control/internal/monitor"
	"lentilwind.dev/instance/events"
	"lentilwind.dev/lentilwind/failover"
	"lentilwind.dev/lentilwind/group"
)

// detect probes suspected servers and tells the groups of dead ones; the lock is held.
func (l *leadership) detect() {
	verdict := l.detector.Tick(l.now, l.heard)
	for _, id := range verdict.ToProbe {
		l.probe(id)
	}
	for _, id := range verdict.Failed {
		l.fail(id)
	}
}

func (l *leadership) heard(id group.ServerID) time.Time {
	server, _ := l.cfg.Roster.Server(id)
	return server.AnnouncedAt
}

// probe tries a new connection; a server whose address is not known counts as silent.
func (l *leadership) probe(id group.ServerID) {
	target, heard := l.target(id)
	if !heard {
		target = l.journalled(id)
	}
	l.spawn(func() {
		outcome := failover.ProbeSilent
		if target.Address != "" {
			outcome = l.cfg.Monitor.Probe(l.ctx, target)
		}
		if !heard && outcome == failover.ProbeAnswered {
			outcome = failover.ProbeSilent
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if !l.ended {
			l.now = time.Now()
			l.detector.HandleProbe(l.now, id, outcome)
			l.detect()
		}
	})
}

// repeatFailedEvery is how often the groups of a dead server are told so again, in case an old answer made it look alive.
const repeatFailedEvery = 250 * time.Millisecond

// fail tells each group of a server that it is dead.
func (l *leadership) fail(id group.ServerID) {
	told, known := l.failed[id]
	if known && l.now.Sub(told) < repeatFailedEvery {
		return
	}
	l.failed[id] = l.now
	if !known {
		l.cfg.Events.Record(events.Event{
			Kind: events.KindPrimarySuspected, Service: string(id.Service), Server: string(id.Server),
		})
		l.cfg.Log.Warn().Str("service", string(id.Service)).Str("server", string(id.Server)).Msg("server is taken for dead")
	}
	for slot := range l.slots[id.Service] {
		if g := l.groups[group.ID{Service: id.Service, Slot: group.Slot(slot)}]; g != nil {
			l.step(g, failover.ServerFailed{Server: id.Server})
		}
	}
}

// journalled returns where a server was when it was made a primary, for a leader that has not heard of it.
//
// The address may be out of date, so only a refusal there counts. If it misleads, the server is one that most data centres
// can't reach either, and what follows is a failover as any other.
func (l *leadership) journalled(id group.ServerID) monitor.Target {
	state := l.cfg.Ledger.State()
	for slot := range l.slots[id.Service] {
		of := group.ID{Service: id.Service, Slot: group.Slot(slot)}
		if state.Group(of).Primary == id.Server {
			return monitor.Target{ID: id, Address: state.PrimaryAddress(of)}
		}
	}
	return monitor.Target{}
}

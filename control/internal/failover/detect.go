package failover

import (
	"time"

	"lentilwind.dev/instance/events"
	"lentilwind.dev/lentilwind/failover"
	"lentilwind.dev/lentilwind/group"
)

// detect probes suspected servers and tells the groups of dead ones; the lock is held.
func (l *leadership) detect() {
	verdict := l.detector.Tick(l.now, l.heard)
	for _, id := range verdict.Probe {
		l.probe(id)
	}
	for _, id := range verdict.Failed {
		l.fail(id)
	}
}

func (l *leadership) heard(id group.ServerID) time.Time {
	server, _ := l.cfg.Roster.Server(id)
	return server.Heard
}

// probe tries a new connection; a server that this leader has not heard of has no address and counts as silent.
func (l *leadership) probe(id group.ServerID) {
	target, found := l.target(id)
	l.spawn(func() {
		outcome := failover.ProbeSilent
		if found {
			outcome = l.cfg.Monitor.Probe(l.ctx, target)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if !l.ended {
			l.now = time.Now()
			l.detector.Probed(l.now, id, outcome)
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

package failover

import (
	"time"

	"lentilwind.dev/control/internal/monitor"
	"lentilwind.dev/instance/events"
	"lentilwind.dev/lentilwind/failover"
	"lentilwind.dev/lentilwind/group"
)

// detectFailures probes suspected servers and notifies the groups of failed ones; the caller holds the lock.
func (l *leadership) detectFailures() {
	result := l.detector.Tick(l.now, l.lastAnnounced)
	for _, id := range result.ToProbe {
		l.probe(id)
	}
	for _, id := range result.Failed {
		l.markFailed(id)
	}
}

func (l *leadership) lastAnnounced(id group.ServerID) time.Time {
	server, _ := l.cfg.Roster.Server(id)
	return server.AnnouncedAt
}

// probe tries to connect to a server; one whose address is unknown counts as silent.
func (l *leadership) probe(id group.ServerID) {
	target, announced := l.monitorTarget(id)
	if !announced {
		target = l.recordedTarget(id)
	}
	l.spawn(func() {
		outcome := failover.ProbeSilent
		if target.Address != "" {
			outcome = l.cfg.Monitor.Probe(l.ctx, target)
		}
		if !announced && outcome == failover.ProbeAnswered {
			outcome = failover.ProbeSilent
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if !l.ended {
			l.now = time.Now()
			l.detector.HandleProbe(l.now, id, outcome)
			l.detectFailures()
		}
	})
}

// failedRepeatInterval is how often the groups of a failed server are notified again, in case a late answer made it look alive.
const failedRepeatInterval = 250 * time.Millisecond

// markFailed notifies each group of a server that the server has failed.
func (l *leadership) markFailed(id group.ServerID) {
	notified, known := l.failed[id]
	if known && l.now.Sub(notified) < failedRepeatInterval {
		return
	}
	l.failed[id] = l.now
	if !known {
		l.cfg.Events.Record(events.Event{
			Kind: events.KindPrimarySuspected, Service: string(id.Service), Server: string(id.Server),
		})
		l.cfg.Log.Warn().Str("service", string(id.Service)).Str("server", string(id.Server)).Msg("server considered failed")
	}
	for slot := range l.slots[id.Service] {
		if g := l.groups[group.ID{Service: id.Service, Slot: group.Slot(slot)}]; g != nil {
			l.step(g, failover.ServerFailed{Server: id.Server})
		}
	}
}

// recordedTarget returns the address that was recorded when a server became a primary, for a leader that has no announcement of it.
//
// The address may be outdated, so only a refused connection counts. If even that is misleading, most data centres can't reach the
// server either, and a regular failover follows.
func (l *leadership) recordedTarget(id group.ServerID) monitor.Target {
	state := l.cfg.Ledger.State()
	for slot := range l.slots[id.Service] {
		of := group.ID{Service: id.Service, Slot: group.Slot(slot)}
		if state.Group(of).Primary == id.Server {
			return monitor.Target{ID: id, Address: state.PrimaryAddress(of)}
		}
	}
	return monitor.Target{}
}

package failover

import (
	"context"
	"time"

	"lentilwind.dev/lentilwind/affinity"
	"lentilwind.dev/lentilwind/catalog"
	"lentilwind.dev/lentilwind/group"
)

// restoreModel rebuilds the model of correlated failures from what earlier leaders recorded.
func restoreModel(cfg affinity.Config, now time.Time, state *catalog.State) *affinity.Model {
	model := affinity.New(cfg)
	if state.Inventory() == nil {
		return model
	}
	for _, service := range state.Inventory().Services {
		for _, database := range service.Databases {
			restoreServer(model, now, state, database.Name)
		}
	}
	return model
}

func restoreServer(model *affinity.Model, now time.Time, state *catalog.State, server group.Server) {
	if failures := state.Failures(server); failures > 0 {
		model.AddServerFailures(now, server, float64(failures))
	}
	for _, other := range state.FailedWith(server) {
		if server < other {
			model.AddPairFailures(now, server, other, float64(state.JointFailures(server, other)))
		}
	}
}

// recordFailures updates the model and records the failed servers once the failure window is over; the caller holds the lock.
func (l *leadership) recordFailures() {
	servers := l.window.Close(l.now)
	if servers == nil {
		return
	}
	l.model.RecordFailure(l.now, servers)
	l.publishFailsWith()
	command := catalog.Command{RecordFailure: &catalog.RecordFailure{Servers: servers, At: l.now}}
	l.spawn(func() {
		ctx, cancel := context.WithTimeout(l.ctx, proposeTimeout)
		defer cancel()
		if _, err := l.cfg.Ledger.Propose(ctx, command); err != nil {
			l.cfg.Log.Warn().Err(err).Msg("failed to record a server failure")
		}
	})
}

// publishFailsWith publishes to entries which servers tend to fail together; the caller holds the lock.
func (l *leadership) publishFailsWith() {
	for _, id := range l.servers {
		l.cfg.Roster.SetFailsWith(id, l.model.FailsWith(l.now, id.Server))
	}
}

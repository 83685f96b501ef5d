package command

import (
	"context"
	"time"

	"lentilwind.dev/entry/internal/executor"
	"lentilwind.dev/entry/internal/homes"
	"lentilwind.dev/entry/internal/pool"
	"lentilwind.dev/entry/internal/settings"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/placement"
	"lentilwind.dev/lentilwind/protocol"
)

// newHomes returns what knows the pool homes and this entry's shares.
func (e *entry) newHomes() executor.HomeLocator {
	if e.settings.Budgets == settings.BudgetSourceInventory {
		e.placement = executor.NewInventoryPlacement(e.settings.Name)
		return e.placement
	}
	e.homes = homes.New(homes.Config{
		Name: e.settings.Name, Incarnation: e.incarnation, Settings: placement.DefaultSettings(), Directory: e.directory,
		Leader: e.leader, Usage: e.usage, Apply: e.applyBudgets, Log: e.log,
	})
	return e.homes
}

// followBudgets keeps the pools at this entry's shares.
func (e *entry) followBudgets(ctx context.Context) error {
	if e.homes != nil {
		return e.homes.Run(ctx)
	}
	return e.followInventory(ctx)
}

func (e *entry) usage(server group.Server) homes.Usage {
	p := e.pools.Pool(server)
	if p == nil {
		return homes.Usage{}
	}
	usage := p.Usage()
	return homes.Usage{Open: usage.Open, Busy: usage.Open - usage.Idle + usage.Waiting}
}

// applyBudgets gives the pools what control has leased.
func (e *entry) applyBudgets(h *homes.Manager) {
	snapshot := e.directory.Snapshot()
	var targets []pool.Target
	for name, budget := range h.Budgets {
		server := snapshot.Server(name)
		if server == nil {
			continue
		}
		target := pool.Target{Service: server.Service, Server: name, Address: server.Address, Limit: budget.Target}
		if server.Health == protocol.HealthLeaving {
			// What runs goes on and counts as open until it has ended.
			target.Limit = 0
		}
		targets = append(targets, target)
	}
	e.pools.Configure(targets)
	for name, budget := range h.Budgets {
		if p := e.pools.Pool(name); p != nil {
			p.EnforceLimit(budget.Hold)
		}
	}
}

// followInventory divides the connections by the inventory.
func (e *entry) followInventory(ctx context.Context) error {
	subscription := e.directory.Subscribe()
	defer subscription.Close()
	shares := executor.NewGrowthDelay()
	for {
		targets := e.placement.Update(e.directory.Snapshot())
		again := shares.Apply(targets, time.Now())
		e.pools.Configure(targets)
		e.warm(ctx)
		var grown <-chan time.Time
		if again > 0 {
			grown = time.After(again)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-subscription.Changed:
		case <-grown:
		}
	}
}

// warmConnections is the number of connections to a server that are opened ahead of need.
const warmConnections = 2

// warm opens connections to each server whose pool has fewer.
func (e *entry) warm(ctx context.Context) {
	e.pools.Each(func(_ group.Server, p *pool.Pool) {
		if p.Usage().Open < warmConnections {
			go p.Warm(ctx, warmConnections)
		}
	})
}

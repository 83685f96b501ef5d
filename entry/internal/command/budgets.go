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

// newHomeLocator returns the locator of pool homes for the configured budget source.
func (e *entry) newHomeLocator() executor.HomeLocator {
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

// runBudgets keeps the pool limits at this entry's connection budgets until the context is canceled.
func (e *entry) runBudgets(ctx context.Context) error {
	if e.homes != nil {
		return e.homes.Run(ctx)
	}
	return e.runInventoryBudgets(ctx)
}

func (e *entry) usage(server group.Server) homes.Usage {
	p := e.pools.Pool(server)
	if p == nil {
		return homes.Usage{}
	}
	usage := p.Usage()
	return homes.Usage{Open: usage.Open, Busy: usage.Open - usage.Idle + usage.Waiting}
}

// applyBudgets configures the pools with the budgets leased from control.
func (e *entry) applyBudgets(manager *homes.Manager) {
	snapshot := e.directory.Snapshot()
	var targets []pool.Target
	for name, budget := range manager.Budgets {
		server := snapshot.Server(name)
		if server == nil {
			continue
		}
		target := pool.Target{Service: server.Service, Server: name, Address: server.Address, Limit: budget.Target}
		if server.Health == protocol.HealthLeaving {
			// Running transactions continue, and their connections count as open until they end.
			target.Limit = 0
		}
		targets = append(targets, target)
	}
	e.pools.Configure(targets)
	for name, budget := range manager.Budgets {
		if p := e.pools.Pool(name); p != nil {
			p.EnforceLimit(budget.Hold)
		}
	}
}

// runInventoryBudgets keeps the pools at the shares that follow from the inventory.
func (e *entry) runInventoryBudgets(ctx context.Context) error {
	subscription := e.directory.Subscribe()
	defer subscription.Close()
	shares := executor.NewGrowthDelay()
	for {
		targets := e.placement.Update(e.directory.Snapshot())
		retryAfter := shares.Apply(targets, time.Now())
		e.pools.Configure(targets)
		e.warmPools(ctx)
		var retry <-chan time.Time
		if retryAfter > 0 {
			retry = time.After(retryAfter)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-subscription.Changed:
		case <-retry:
		}
	}
}

// warmConnections is the number of connections to each server that are opened in advance.
const warmConnections = 2

// warmPools opens connections in each pool that has fewer than warmConnections.
func (e *entry) warmPools(ctx context.Context) {
	e.pools.Each(func(_ group.Server, p *pool.Pool) {
		if p.Usage().Open < warmConnections {
			go p.Warm(ctx, warmConnections)
		}
	})
}

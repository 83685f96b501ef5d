package homes

import (
	"maps"
	"slices"
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/placement"
)

// peakWindow is the length of one window of the peak demand. A peak counts for one to two windows.
const peakWindow = 2 * time.Second

// peakDemand tracks the highest demand for a server in the current and the previous window.
type peakDemand struct {
	windowStart       time.Time
	previous, current int
	// reported is the demand in the last request to the leader.
	reported int
}

// add records a demand and returns the peak.
func (d *peakDemand) add(now time.Time, n int) int {
	switch since := now.Sub(d.windowStart); {
	case since >= 2*peakWindow:
		d.windowStart, d.previous, d.current = now, 0, 0
	case since >= peakWindow:
		d.windowStart, d.previous, d.current = now, d.current, 0
	}
	d.current = max(d.current, n)
	return max(d.previous, d.current)
}

// nextRequest returns the request that is due, or nil.
//
// A request is due at once when the homes have changed, after minRequestInterval when a budget does not fit its use, and otherwise
// requestsPerLease times per lease.
func (m *Manager) nextRequest(now time.Time) *placement.Request {
	m.mu.Lock()
	defer m.mu.Unlock()
	usages := m.usages(now)
	since := now.Sub(m.lastRequest)
	due := m.requestNow || since >= m.cfg.Settings.ShareLease/requestsPerLease
	if since >= minRequestInterval && !due {
		due = slices.ContainsFunc(usages, func(u placement.Usage) bool { return m.needsBudgetChange(now, u) })
	}
	if !due {
		return nil
	}
	m.requestNow, m.lastRequest = false, now
	for _, u := range usages {
		m.demand[u.Database].reported = u.Demand
	}
	request := m.leases.NewRequest(now, usages)
	return &request
}

// needsBudgetChange reports whether a budget has become too small or can be partly returned.
func (m *Manager) needsBudgetChange(now time.Time, u placement.Usage) bool {
	budget := m.leases.Budget(now, u.Database)
	short := u.Demand > budget.Target && u.Demand > m.demand[u.Database].reported
	return short || budget.Hold > max(budget.Target, u.Open)
}

// usages lists the servers that this entry is a home of or has a budget for.
func (m *Manager) usages(now time.Time) []placement.Usage {
	listed := make(map[group.ServerID]struct{})
	for _, s := range *m.servers.Load() {
		if s.local {
			listed[s.id] = struct{}{}
		}
	}
	for _, budget := range *m.budgets.Load() {
		listed[budget.Server] = struct{}{}
	}
	ids := slices.SortedFunc(maps.Keys(listed), group.ServerID.Compare)
	usages := make([]placement.Usage, 0, len(ids))
	for _, id := range ids {
		usage := m.cfg.Usage(id.Server)
		if m.demand[id] == nil {
			m.demand[id] = &peakDemand{}
		}
		usages = append(usages, placement.Usage{Database: id, Open: usage.Open, Demand: m.demand[id].add(now, usage.Busy)})
	}
	maps.DeleteFunc(m.demand, func(id group.ServerID, _ *peakDemand) bool {
		_, found := listed[id]
		return !found
	})
	return usages
}

// updateBudgets computes the budgets that stay valid for leaseMargin and reports whether any has changed.
func (m *Manager) updateBudgets(now time.Time) bool {
	old := *m.budgets.Load()
	budgets := make(map[group.Server]Budget)
	m.mu.Lock()
	for server, s := range *m.servers.Load() {
		budget := m.leases.Budget(now.Add(leaseMargin), s.id)
		if s.local || budget.Hold > 0 {
			budgets[server] = Budget{Budget: budget, Server: s.id}
		}
	}
	for server, b := range old {
		if _, known := budgets[server]; known {
			continue
		}
		// A server that left the inventory may still have open connections.
		if b.Budget = m.leases.Budget(now.Add(leaseMargin), b.Server); b.Hold > 0 {
			budgets[server] = b
		}
	}
	m.mu.Unlock()
	if maps.Equal(old, budgets) {
		return false
	}
	m.budgets.Store(&budgets)
	return true
}

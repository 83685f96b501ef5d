package homes

import (
	"maps"
	"slices"
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/placement"
)

// peakWindow is half of the time for which a peak of the demand counts.
const peakWindow = 2 * time.Second

// demand is the greatest demand for a server in this window and in the one before.
type demand struct {
	began         time.Time
	last, current int
	// reported is what the leader was last told.
	reported int
}

// add takes in a demand and returns the peak.
func (d *demand) add(now time.Time, n int) int {
	switch since := now.Sub(d.began); {
	case since >= 2*peakWindow:
		d.began, d.last, d.current = now, 0, 0
	case since >= peakWindow:
		d.began, d.last, d.current = now, d.current, 0
	}
	d.current = max(d.current, n)
	return max(d.last, d.current)
}

// next returns the request that is due, if any.
//
// One is due at once when the homes have changed, soon when a server's budget does not fit its use, and in time before a lease ends.
func (h *Manager) next(now time.Time) *placement.Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	usages := h.usages(now)
	since := now.Sub(h.asked)
	due := h.eager || since >= h.cfg.Settings.ShareLease/asksPerLease
	if since >= askAfter && !due {
		due = slices.ContainsFunc(usages, func(u placement.Usage) bool { return h.unfit(now, u) })
	}
	if !due {
		return nil
	}
	h.eager, h.asked = false, now
	for _, u := range usages {
		h.demand[u.Database].reported = u.Demand
	}
	request := h.keeper.NewRequest(now, usages)
	return &request
}

// unfit tells that a budget has become too small, or that a part of it can be given back.
func (h *Manager) unfit(now time.Time, u placement.Usage) bool {
	budget := h.keeper.Budget(now, u.Database)
	short := u.Demand > budget.Target && u.Demand > h.demand[u.Database].reported
	return short || budget.Hold > max(budget.Target, u.Open)
}

// usages lists the servers that this entry is a home of or has a budget of.
func (h *Manager) usages(now time.Time) []placement.Usage {
	listed := make(map[group.ServerID]struct{})
	for _, p := range *h.places.Load() {
		if p.home {
			listed[p.id] = struct{}{}
		}
	}
	for _, budget := range *h.budgets.Load() {
		listed[budget.Server] = struct{}{}
	}
	ids := slices.SortedFunc(maps.Keys(listed), group.ServerID.Compare)
	usages := make([]placement.Usage, 0, len(ids))
	for _, id := range ids {
		usage := h.cfg.Usage(id.Server)
		if h.demand[id] == nil {
			h.demand[id] = &demand{}
		}
		usages = append(usages, placement.Usage{Database: id, Open: usage.Open, Demand: h.demand[id].add(now, usage.Busy)})
	}
	maps.DeleteFunc(h.demand, func(id group.ServerID, _ *demand) bool {
		_, found := listed[id]
		return !found
	})
	return usages
}

// publish makes the budgets of the next moments known and reports whether any has changed.
func (h *Manager) publish(now time.Time) bool {
	old := *h.budgets.Load()
	budgets := make(map[group.Server]Budget)
	h.mu.Lock()
	for server, p := range *h.places.Load() {
		budget := h.keeper.Budget(now.Add(lookAhead), p.id)
		if p.home || budget.Hold > 0 {
			budgets[server] = Budget{Budget: budget, Server: p.id}
		}
	}
	for server, b := range old {
		if _, known := budgets[server]; known {
			continue
		}
		// A server may have left the inventory with connections still open.
		if b.Budget = h.keeper.Budget(now.Add(lookAhead), b.Server); b.Hold > 0 {
			budgets[server] = b
		}
	}
	h.mu.Unlock()
	if maps.Equal(old, budgets) {
		return false
	}
	h.budgets.Store(&budgets)
	return true
}

package caller

import (
	"time"

	"lentilwind.dev/entry/internal/outcome"
	"lentilwind.dev/entry/internal/relay"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
	"lentilwind.dev/lentilwind/route"
)

// admittedTx is an admitted transaction with the state of its retries.
type admittedTx struct {
	rule     *inventory.Route
	group    group.ID
	weight   int
	begin    string
	started  time.Time
	deadline time.Time
	// primaryOnly is set while replicas are excluded.
	primaryOnly bool
	// failedUnder is the group configuration under which the last attempt was refused; a write waits for a different one.
	failedUnder group.Configuration
	// failedConnects counts the attempts that found no server or connection.
	failedConnects int
	// budgetUsed is set once the transaction has been charged to the retry budget.
	budgetUsed bool
	view       route.View
}

func (t *admittedTx) reads() bool { return t.rule.Access == inventory.AccessRead }

// servesWithoutLease reports whether a route is served to this caller by an entry that has no valid configuration lease. The key of a caller
// may have been withdrawn, and the route closed, without the entry knowing.
func (c *callerConn) servesWithoutLease(rule *inventory.Route) bool {
	return rule.OpenToAll && !c.hasKey || rule.CutOff == inventory.CutOffServe
}

// admit checks that the route may run the request, fills t, and charges the request to the quota of the workspace.
func (c *callerConn) admit(t *admittedTx, r *relay.Request) *outcome.Failure {
	now := time.Now()
	snapshot := c.server.cfg.Directory.Snapshot()
	hints := route.Hints{}
	if relay.HasLeadingComment(r.RoutingText) {
		hints = route.ParseComment(relay.UnsafeString(r.RoutingText))
	}
	if hints.Route == "" {
		hints.Route = c.route
	}
	rule, found := snapshot.Route(c.service, hints.Route)
	service := snapshot.Service(c.service)
	if !found || service == nil {
		return outcome.ForReason(outcome.ReasonUnknownRoute, nil)
	}
	if !c.hasKey && !rule.OpenToAll {
		return outcome.ForReason(outcome.ReasonRouteClosed, nil)
	}
	if !c.servesWithoutLease(rule) && !c.server.cfg.Directory.Leased(now) {
		return outcome.ForReason(outcome.ReasonNoLease, nil)
	}
	t.rule = rule
	t.group = group.ID{Service: c.service, Slot: route.SlotOf(hints.Key, service.Slots)}
	t.begin = c.deferredBegin
	t.started, t.deadline = now, now.Add(c.server.cfg.Limits.RequestTimeout)
	t.weight = 1
	if workspace := snapshot.Workspace(c.workspace); workspace != nil {
		t.weight = workspace.Weight
	}
	if !r.Executes {
		return nil
	}
	c.server.Counters.Requests.Add(1)
	return c.takeQuota(t)
}

// takeQuota charges one request to the quota of the workspace.
func (c *callerConn) takeQuota(t *admittedTx) *outcome.Failure {
	quota := c.server.cfg.Quota
	if quota == nil || c.server.cfg.Directory.Snapshot().Workspace(c.workspace) == nil {
		return nil
	}
	ctx := c.buffers.waitContext.reset(t.deadline)
	defer c.buffers.waitContext.stop()
	if quota.Take(ctx, c.workspace) {
		return nil
	}
	return outcome.ForReason(outcome.ReasonQuota, nil)
}

// newForward returns the parameters with which the executor opens the transaction.
func (c *callerConn) newForward(t *admittedTx, server group.Server, term group.Term) protocol.Forward {
	limits := &c.server.cfg.Limits
	return protocol.Forward{
		Workspace:      c.workspace,
		Group:          t.group,
		Server:         server,
		Term:           term,
		Access:         t.rule.Access,
		QueueTimeout:   max(0, time.Until(t.deadline)),
		AnswerTimeout:  limits.AnswerTimeout,
		IdleTimeout:    limits.IdleInTransaction,
		Priority:       t.rule.Priority,
		Weight:         t.weight,
		BeginStatement: t.begin,
	}
}

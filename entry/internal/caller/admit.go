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

// ticket is an admitted transaction on its way to a server.
type ticket struct {
	rule     *inventory.Route
	id       group.ID
	weight   int
	begin    string
	started  time.Time
	deadline time.Time
	// primary tells that replicas are not asked any more.
	primary bool
	// tried is the configuration that the last attempt failed under.
	tried group.Configuration
	// attempts counts the attempts that found no connection.
	attempts int
	// retried tells that a part of the retry budget was used already.
	retried bool
	view    route.View
}

func (t *ticket) reads() bool { return t.rule.Access == inventory.AccessRead }

// serves tells whether the rule lets an entry without a configuration lease run the request.
func serves(rule *inventory.Route) bool {
	return rule.OpenToAll || rule.CutOff == inventory.CutOffServe
}

// admit checks whether the request may run at all, and takes it out of the workspace's quota.
func (c *caller) admit(t *ticket, r *relay.Request) *outcome.Failure {
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
	if !c.keyed && !rule.OpenToAll {
		return outcome.ForReason(outcome.ReasonRouteClosed, nil)
	}
	if !serves(rule) && !c.server.cfg.Directory.Leased(now) {
		return outcome.ForReason(outcome.ReasonNoLease, nil)
	}
	t.rule = rule
	t.id = group.ID{Service: c.service, Slot: route.SlotOf(hints.Key, service.Slots)}
	t.begin = c.begin
	t.started, t.deadline = now, now.Add(c.server.cfg.Limits.RequestTimeout)
	t.weight = 1
	if workspace := snapshot.Workspace(c.workspace); workspace != nil {
		t.weight = workspace.Weight
	}
	if !r.Executes {
		return nil
	}
	c.server.Counters.Requests.Add(1)
	return c.draw(t)
}

// draw takes one request out of the workspace's quota.
func (c *caller) draw(t *ticket) *outcome.Failure {
	quota := c.server.cfg.Quota
	if quota == nil || c.server.cfg.Directory.Snapshot().Workspace(c.workspace) == nil {
		return nil
	}
	ctx := c.buffers.patience.until(t.deadline)
	defer c.buffers.patience.stop()
	if quota.Take(ctx, c.workspace) {
		return nil
	}
	return outcome.ForReason(outcome.ReasonQuota, nil)
}

// opening returns what the executor needs to know.
func (c *caller) opening(t *ticket, server group.Server, term group.Term) protocol.Forward {
	limits := &c.server.cfg.Limits
	return protocol.Forward{
		Workspace: c.workspace,
		Group:     t.id,
		Server:    server,
		Term:      term,
		Access:    t.rule.Access,
		QueueFor:  max(0, time.Until(t.deadline)),
		AnswerFor: limits.AnswerTimeout,
		IdleFor:   limits.IdleInTransaction,
		Priority:  t.rule.Priority,
		Weight:    t.weight,
		Begin:     t.begin,
	}
}

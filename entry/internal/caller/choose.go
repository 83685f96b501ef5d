package caller

import (
	"time"

	"lentilwind.dev/entry/internal/outcome"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
	"lentilwind.dev/lentilwind/route"
)

// target is the server chosen for a transaction.
type target struct {
	forward protocol.Forward
	replica bool
	// validUntil is the time from which the answer of a read requires a new check of the group's term.
	validUntil time.Time
}

// recheckPeriod bounds the wait between two checks of a group that has no server for the request.
const recheckPeriod = 20 * time.Millisecond

// chooseTarget chooses the server for a transaction and waits for a suitable one until the deadline.
func (c *callerConn) chooseTarget(t *admittedTx) (target, *outcome.Failure) {
	if t.reads() {
		return c.chooseReadTarget(t)
	}
	return c.chooseWriteTarget(t)
}

// chooseWriteTarget chooses the primary, provided that its term is not older than the newest one that the session has seen.
func (c *callerConn) chooseWriteTarget(t *admittedTx) (target, *outcome.Failure) {
	for {
		snapshot := c.server.cfg.Directory.Snapshot()
		configuration, found := snapshot.Group(t.group)
		server := snapshot.Server(configuration.Primary)
		if found && server != nil && server.Live() && c.session.Floors[t.group].Term <= configuration.Term && configuration != t.failedUnder {
			return target{forward: c.newForward(t, configuration.Primary, configuration.Term)}, nil
		}
		if !c.awaitDirectoryChange(t, recheckPeriod) {
			return target{}, outcome.ForReason(outcome.ReasonNoPrimary, nil)
		}
	}
}

// awaitDirectoryChange waits for a change of the directory, at most maxWait; it returns false once the deadline of the transaction has
// passed.
func (c *callerConn) awaitDirectoryChange(t *admittedTx, maxWait time.Duration) bool {
	left := time.Until(t.deadline)
	if left <= 0 || c.server.stopping.Load() && time.Since(t.started) > maxWaitWhenStopping {
		return false
	}
	subscription := c.server.cfg.Directory.Subscribe()
	defer subscription.Close()
	timer := time.NewTimer(min(left, maxWait))
	defer timer.Stop()
	select {
	case <-subscription.Changed:
	case <-timer.C:
	}
	return true
}

// maxWaitWhenStopping is how long a request may wait for a server while the entry is stopping.
const maxWaitWhenStopping = time.Second

// chooseReadTarget chooses a replica or the primary by the routing policy.
func (c *callerConn) chooseReadTarget(t *admittedTx) (target, *outcome.Failure) {
	request := route.Request{MaxStaleness: t.rule.MaxStaleness.Std()}
	var failure *outcome.Failure
	if request.Floor, failure = c.sessionFloor(t); failure != nil {
		return target{}, failure
	}
	for {
		changed := c.server.cfg.Positions.Changed(t.group)
		if !c.server.cfg.Positions.FillView(t.group, &t.view) {
			return target{}, outcome.ForReason(outcome.ReasonNoServer, nil)
		}
		now := time.Now()
		request.Waited = now.Sub(t.started)
		choice := c.applyRoutingPolicy(t, &request, now)
		switch choice.Decision {
		case route.Replica, route.Primary:
			if request.Floor.Term <= t.view.Term {
				return c.newReadTarget(t, &request, choice), nil
			}
		case route.Wait:
			awaitGroupChange(changed, choice.Until.Sub(now))
			continue
		}
		if !c.awaitDirectoryChange(t, recheckPeriod) {
			return target{}, c.noReadTarget(t)
		}
	}
}

// applyRoutingPolicy chooses where a read runs. Replicas serve only single statements, whose staleness is known before each of them.
func (c *callerConn) applyRoutingPolicy(t *admittedTx, request *route.Request, now time.Time) route.Choice {
	if t.primaryOnly || t.begin != "" || c.buffers.request.HasBegin {
		return route.Choose(route.PrimaryOnly{}, &t.view, request, now)
	}
	return route.Choose(route.DefaultPolicy, &t.view, request, now)
}

func (c *callerConn) newReadTarget(t *admittedTx, request *route.Request, choice route.Choice) target {
	forward := c.newForward(t, choice.Server, t.view.Term)
	forward.Floor = request.Floor
	read := target{forward: forward, validUntil: choice.Until}
	if choice.Decision == route.Replica {
		read.replica = true
		read.forward.MaxStaleness = request.MaxStaleness
		// The executor checks the staleness of the replica itself; only the age of the group's term remains to be checked.
		read.validUntil = t.view.TermConfirmedAt.Add(request.MaxStaleness)
	}
	return read
}

func (c *callerConn) noReadTarget(t *admittedTx) *outcome.Failure {
	if t.view.Primary == "" {
		return outcome.ForReason(outcome.ReasonNoPrimary, nil)
	}
	return outcome.ForReason(outcome.ReasonNoServer, nil)
}

func awaitGroupChange(changed <-chan struct{}, maxWait time.Duration) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

// sessionFloor returns the minimum term and position of the group that a read of the session must reflect.
//
// A session without a token must see every write acknowledged before it connected. Callers without a key have no session.
func (c *callerConn) sessionFloor(t *admittedTx) (group.Floor, *outcome.Failure) {
	if c.workspace == inventory.PublicWorkspace {
		return c.session.Floors[t.group], nil
	}
	floor, known := c.session.Floor(t.group)
	if known {
		return floor, nil
	}
	ctx := c.buffers.waitContext.reset(t.deadline)
	defer c.buffers.waitContext.stop()
	floor, err := c.server.cfg.Positions.SessionFloor(ctx, t.group, c.connected)
	if err != nil {
		return group.Floor{}, outcome.ForReason(outcome.ReasonBehind, err)
	}
	c.session.Raise(t.group, floor)
	return floor, nil
}

package caller

import (
	"time"

	"lentilwind.dev/entry/internal/outcome"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
	"lentilwind.dev/lentilwind/route"
)

// target is the server that a transaction runs on.
type target struct {
	opening protocol.Forward
	replica bool
	// until is when a read's answer needs a new check of the group's term.
	until time.Time
}

// recheckPeriod bounds the pause between two looks at a group without a server for the request.
const recheckPeriod = 20 * time.Millisecond

// choose finds the server for a transaction and waits for one until the deadline.
func (c *caller) choose(t *ticket) (target, *outcome.Failure) {
	if t.reads() {
		return c.chooseRead(t)
	}
	return c.chooseWrite(t)
}

// chooseWrite takes the primary of a term that the session has not seen beyond.
func (c *caller) chooseWrite(t *ticket) (target, *outcome.Failure) {
	for {
		snapshot := c.server.cfg.Directory.Snapshot()
		configuration, found := snapshot.Group(t.id)
		server := snapshot.Server(configuration.Primary)
		if found && server != nil && server.Live() && c.state.Floors[t.id].Term <= configuration.Term && configuration != t.tried {
			return target{opening: c.opening(t, configuration.Primary, configuration.Term)}, nil
		}
		if !c.pause(t, recheckPeriod) {
			return target{}, outcome.ForReason(outcome.ReasonNoPrimary, nil)
		}
	}
}

// pause waits for a change of the directory and reports false once the deadline has come.
func (c *caller) pause(t *ticket, limit time.Duration) bool {
	left := time.Until(t.deadline)
	if left <= 0 || c.server.stopping.Load() && time.Since(t.started) > stopPatience {
		return false
	}
	subscription := c.server.cfg.Directory.Subscribe()
	defer subscription.Close()
	clock := time.NewTimer(min(left, limit))
	defer clock.Stop()
	select {
	case <-subscription.Changed:
	case <-clock.C:
	}
	return true
}

// stopPatience is how long a stopping entry lets a request wait for a server.
const stopPatience = time.Second

// chooseRead takes a replica or the primary, whichever the route's policy says.
func (c *caller) chooseRead(t *ticket) (target, *outcome.Failure) {
	request := route.Request{MaxStaleness: t.rule.MaxStaleness.Std()}
	var failure *outcome.Failure
	if request.Floor, failure = c.floor(t); failure != nil {
		return target{}, failure
	}
	for {
		changed := c.server.cfg.Positions.Changed(t.id)
		if !c.server.cfg.Positions.FillView(t.id, &t.view) {
			return target{}, outcome.ForReason(outcome.ReasonNoServer, nil)
		}
		now := time.Now()
		request.Waited = now.Sub(t.started)
		choice := c.decide(t, &request, now)
		switch choice.Place {
		case route.Replica, route.Primary:
			if request.Floor.Term <= t.view.Term {
				return c.readTarget(t, &request, choice), nil
			}
		case route.Wait:
			awaitChange(changed, choice.Until.Sub(now))
			continue
		}
		if !c.pause(t, recheckPeriod) {
			return target{}, c.noReadServer(t)
		}
	}
}

// decide lets only single statements run on replicas, whose staleness is known before each of them.
func (c *caller) decide(t *ticket, request *route.Request, now time.Time) route.Choice {
	if t.primary || t.begin != "" || c.buffers.request.HasBegin {
		return route.Choose(route.PrimaryOnly{}, &t.view, request, now)
	}
	return route.Choose(route.DefaultPolicy, &t.view, request, now)
}

func (c *caller) readTarget(t *ticket, request *route.Request, choice route.Choice) target {
	opening := c.opening(t, choice.Server, t.view.Term)
	opening.Floor = request.Floor
	result := target{opening: opening, until: choice.Until}
	if choice.Place == route.Replica {
		result.replica = true
		result.opening.MaxStaleness = request.MaxStaleness
		// The executor checks the replica's own age; what remains is the age of the group's term.
		result.until = t.view.Current.Add(request.MaxStaleness)
	}
	return result
}

func (c *caller) noReadServer(t *ticket) *outcome.Failure {
	if t.view.Primary == "" {
		return outcome.ForReason(outcome.ReasonNoPrimary, nil)
	}
	return outcome.ForReason(outcome.ReasonNoServer, nil)
}

func awaitChange(changed <-chan struct{}, limit time.Duration) {
	clock := time.NewTimer(limit)
	defer clock.Stop()
	select {
	case <-changed:
	case <-clock.C:
	}
}

// floor returns what the session must at least be shown of the group.
//
// A session without a token must see all that was acknowledged before it connected; callers without a key have no session.
func (c *caller) floor(t *ticket) (group.Floor, *outcome.Failure) {
	if c.workspace == inventory.PublicWorkspace {
		return c.state.Floors[t.id], nil
	}
	floor, known := c.state.Floor(t.id)
	if known {
		return floor, nil
	}
	ctx := c.buffers.patience.until(t.deadline)
	defer c.buffers.patience.stop()
	floor, err := c.server.cfg.Positions.SessionFloor(ctx, t.id, c.connected)
	if err != nil {
		return group.Floor{}, outcome.ForReason(outcome.ReasonBehind, err)
	}
	c.state.Raise(t.id, floor)
	return floor, nil
}

package quota

import (
	"context"
	"time"

	"lentilwind.dev/instance/peer"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
	"lentilwind.dev/lentilwind/quota"
)

const (
	// groupDrawTimeout limits a request to the keeper, which is in the same data centre.
	groupDrawTimeout = 50 * time.Millisecond
	// groupCheckPeriod is the interval at which a cut-off entry checks whether it must draw from the keeper.
	groupCheckPeriod = 10 * time.Millisecond
)

// Register registers the handler for entries that leave their shares to this one.
func (l *Limiter) Register(server *peer.Server) {
	server.Handle(protocol.KindGroupDraw, peer.TypedHandler(
		func(_ context.Context, _ inventory.InstanceName, request protocol.GroupDrawRequest) (protocol.GroupDrawReply, error) {
			return l.handleGroupDraw(&request), nil
		},
	))
}

func (l *Limiter) handleGroupDraw(request *protocol.GroupDrawRequest) protocol.GroupDrawReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keeper.HandleDraw(request, l.cfg.Limits.Limits, l.cfg.Now())
}

// RunGroup draws from the keeper of the data centre while the leader does not answer, until the context ends.
func (l *Limiter) RunGroup(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.cutOff:
		}
		for ctx.Err() == nil && l.drawFromGroup(ctx) {
			sleep(ctx, groupCheckPeriod)
		}
	}
}

// drawFromGroup sends a request to the keeper if one is due. It reports whether the entry is cut off or its shares are lent.
func (l *Limiter) drawFromGroup(ctx context.Context) bool {
	l.mu.Lock()
	now := l.cfg.Now()
	if !l.entry.CutOff(now) && !l.entry.Lent(now) {
		l.mu.Unlock()
		return false
	}
	address, self, found := l.cfg.Group.Keeper()
	if address != l.keeperAddress {
		l.entry.LeaveKeeper()
	}
	// While the former keeper may still use the shares, no other one gets them.
	if !found || address != l.keeperAddress && l.entry.Lent(now) {
		l.mu.Unlock()
		return true
	}
	l.keeperAddress = address
	pending := l.entry.NextGroupDraw(now)
	l.mu.Unlock()
	if pending == nil {
		return true
	}
	reply, err := l.callKeeper(ctx, address, self, pending)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.deliver(l.entry.HandleGroupReply(pending, reply, l.cfg.Now()))
	}
	return true
}

func (l *Limiter) callKeeper(ctx context.Context, address string, self bool, pending *quota.PendingGroupDraw[chan bool]) (*protocol.GroupDrawReply, error) {
	if self {
		reply := l.handleGroupDraw(&pending.Request)
		return &reply, nil
	}
	ctx, cancel := context.WithTimeout(ctx, groupDrawTimeout)
	defer cancel()
	var reply protocol.GroupDrawReply
	err := l.cfg.Group.CallKeeper(ctx, address, &pending.Request, &reply)
	return &reply, err
}

package positions

import (
	"context"
	"time"

	"lentilwind.dev/instance/identity"
	"lentilwind.dev/lentilwind/confirm"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/protocol"
)

// Limits of requests from other entries.
const (
	// maxLongPoll bounds the time for which a request is held.
	maxLongPoll = time.Minute
	// suspectPeriod is how often a held request checks for changed suspicions.
	suspectPeriod = 250 * time.Millisecond
)

// remoteWaiter is a request of another entry that waits for a newer status of a member.
type remoteWaiter struct {
	member *member
	protocol.StatusDemand
	since time.Time
	// ready receives a value once the want is fulfilled.
	ready chan<- struct{}
}

// fulfilled reports whether the sample was requested after the want arrived, so that it is newer than any sample of the
// requester, and covers the wanted position.
func (w *remoteWaiter) fulfilled(sample *confirm.StatusSample) bool {
	if sample.SentAt.Before(w.since) {
		return false
	}
	return !w.Write || sample.Status.Term == w.Term && sample.Status.Received >= w.Position
}

// notifyIfFulfilled signals ready if the want is fulfilled. It never blocks.
func (w *remoteWaiter) notifyIfFulfilled() {
	sample := w.member.load()
	if !w.fulfilled(&sample) {
		return
	}
	select {
	case w.ready <- struct{}{}:
	default:
	}
}

// ServeObserve answers another entry about the servers that this entry monitors.
func (t *Tracker) ServeObserve(ctx context.Context, peer identity.Peer, frame protocol.Frame) (any, error) {
	received := time.Now()
	if peer.Role != identity.RoleEntry {
		return nil, &protocol.Refusal{Code: protocol.CodeNotPermitted, Message: "only entries ask for positions"}
	}
	var request protocol.ObserveRequest
	if err := protocol.Decode(frame.Body, &request); err != nil {
		return nil, &protocol.Refusal{Code: protocol.CodeInvalid, Message: err.Error()}
	}
	t.longPoll(ctx, &request, received)
	return t.observeReply(&request, received), nil
}

// longPoll returns when a want is fulfilled, a suspicion has changed or the wait is over.
func (t *Tracker) longPoll(ctx context.Context, request *protocol.ObserveRequest, received time.Time) {
	if request.Wait <= 0 {
		return
	}
	ready := make(chan struct{}, 1)
	defer t.register(request, received, ready)()
	timer := time.NewTimer(min(request.Wait, maxLongPoll))
	defer timer.Stop()
	suspicionCheck := time.NewTicker(suspectPeriod)
	defer suspicionCheck.Stop()
	for !t.suspicionsChanged(request) {
		select {
		case <-ready:
			return
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-suspicionCheck.C:
		}
	}
}

// register adds the wants to their groups and wakes the monitors. The returned function removes them.
func (t *Tracker) register(request *protocol.ObserveRequest, received time.Time, ready chan<- struct{}) (unregister func()) {
	type registration struct {
		group  *groupState
		waiter *remoteWaiter
	}
	var registrations []registration
	for i := range request.Watches {
		watch := &request.Watches[i]
		for _, want := range watch.Wants {
			g := t.group(group.ID{Service: watch.Server.Service, Slot: want.Slot})
			if g == nil || g.member(watch.Server.Server) == nil {
				continue
			}
			w := &remoteWaiter{member: g.member(watch.Server.Server), StatusDemand: want, since: received, ready: ready}
			g.addRemote(w)
			registrations = append(registrations, registration{group: g, waiter: w})
		}
		if len(watch.Wants) > 0 {
			t.wakeServer(watch.Server.Server)
		}
	}
	return func() {
		for _, r := range registrations {
			r.group.removeRemote(r.waiter)
		}
	}
}

func (t *Tracker) wakeServer(server group.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.monitors[server]; m != nil {
		m.wake()
	}
}

func (t *Tracker) suspicionsChanged(request *protocol.ObserveRequest) bool {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range request.Watches {
		m := t.monitors[request.Watches[i].Server.Server]
		if m == nil || m.suspected(now) != request.Watches[i].Suspected {
			return true
		}
	}
	return false
}

// observeReply lists the statuses of the requested servers that this entry monitors.
func (t *Tracker) observeReply(request *protocol.ObserveRequest, received time.Time) *protocol.ObserveReply {
	reply := &protocol.ObserveReply{}
	now := time.Now()
	for i := range request.Watches {
		id := request.Watches[i].Server
		t.mu.Lock()
		m := t.monitors[id.Server]
		t.mu.Unlock()
		if m == nil || m.service != id.Service {
			continue
		}
		reply.Servers = append(reply.Servers, protocol.ObservedServer{
			Server: id, Suspected: m.suspected(now), Silent: m.sinceAnswer(now), Statuses: t.observations(id, received),
		})
	}
	return reply
}

func (t *Tracker) observations(id group.ServerID, received time.Time) []protocol.Observation {
	service := t.cfg.Directory.Snapshot().Service(id.Service)
	if service == nil {
		return nil
	}
	var observations []protocol.Observation
	for slot := range service.Slots {
		g := t.group(group.ID{Service: id.Service, Slot: group.Slot(slot)})
		if g == nil || g.member(id.Server) == nil {
			continue
		}
		sample := g.member(id.Server).load()
		if sample.SentAt.IsZero() {
			continue
		}
		observations = append(observations, protocol.Observation{
			Status: sample.Status, Before: max(0, received.Sub(sample.SentAt)),
		})
	}
	return observations
}

package positions

import (
	"context"
	"time"

	"lentilwind.dev/instance/identity"
	"lentilwind.dev/lentilwind/confirm"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/protocol"
)

// Limits of what an entry does for others.
const (
	// maxHeld bounds the time for which a request is held.
	maxHeld = time.Minute
	// suspectPeriod is the time between two looks at the suspicions that a held request waits for.
	suspectPeriod = 250 * time.Millisecond
)

// remoteWant is what another entry waits for.
type remoteWant struct {
	member *member
	protocol.Want
	since time.Time
	// settled is told once the want is fulfilled.
	settled chan<- struct{}
}

// fulfilled tells that the server was asked after the request had come, so that the sample is newer than any the requester has.
func (w *remoteWant) fulfilled(sample *confirm.StatusSample) bool {
	if sample.SentAt.Before(w.since) {
		return false
	}
	return !w.Write || sample.Status.Term == w.Term && sample.Status.Received >= w.Position
}

// settle tells of the want once it is fulfilled.
func (w *remoteWant) settle() {
	sample := w.member.load()
	if !w.fulfilled(&sample) {
		return
	}
	select {
	case w.settled <- struct{}{}:
	default:
	}
}

// ServeObserve answers another entry about the servers that this one monitors.
func (k *Tracker) ServeObserve(ctx context.Context, peer identity.Peer, frame protocol.Frame) (any, error) {
	received := time.Now()
	if peer.Role != identity.RoleEntry {
		return nil, &protocol.Refusal{Code: protocol.CodeNotPermitted, Message: "only entries ask for positions"}
	}
	var request protocol.ObserveRequest
	if err := protocol.Decode(frame.Body, &request); err != nil {
		return nil, &protocol.Refusal{Code: protocol.CodeInvalid, Message: err.Error()}
	}
	k.hold(ctx, &request, received)
	return k.observed(&request, received), nil
}

// hold returns once something that is wanted has come, or a suspicion has changed, or the time is over.
func (k *Tracker) hold(ctx context.Context, request *protocol.ObserveRequest, received time.Time) {
	if request.Wait <= 0 {
		return
	}
	settled := make(chan struct{}, 1)
	defer k.register(request, received, settled)()
	clock := time.NewTimer(min(request.Wait, maxHeld))
	defer clock.Stop()
	look := time.NewTicker(suspectPeriod)
	defer look.Stop()
	for !k.suspicionsChanged(request) {
		select {
		case <-settled:
			return
		case <-ctx.Done():
			return
		case <-clock.C:
			return
		case <-look.C:
		}
	}
}

// register lets the monitors see the wants and returns a function that takes them back.
func (k *Tracker) register(request *protocol.ObserveRequest, received time.Time, settled chan<- struct{}) (unregister func()) {
	type entry struct {
		group *groupState
		want  *remoteWant
	}
	var entries []entry
	for i := range request.Watches {
		watch := &request.Watches[i]
		for _, want := range watch.Wants {
			g := k.group(group.ID{Service: watch.Server.Service, Slot: want.Slot})
			if g == nil || g.member(watch.Server.Server) == nil {
				continue
			}
			w := &remoteWant{member: g.member(watch.Server.Server), Want: want, since: received, settled: settled}
			g.addRemote(w)
			entries = append(entries, entry{group: g, want: w})
		}
		if len(watch.Wants) > 0 {
			k.wakeServer(watch.Server.Server)
		}
	}
	return func() {
		for _, e := range entries {
			e.group.removeRemote(e.want)
		}
	}
}

func (k *Tracker) wakeServer(server group.Server) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if m := k.monitors[server]; m != nil {
		m.wake()
	}
}

func (k *Tracker) suspicionsChanged(request *protocol.ObserveRequest) bool {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := range request.Watches {
		m := k.monitors[request.Watches[i].Server.Server]
		if m == nil || m.suspected(now) != request.Watches[i].Suspected {
			return true
		}
	}
	return false
}

// observed lists what is known of the servers that this entry monitors.
func (k *Tracker) observed(request *protocol.ObserveRequest, received time.Time) *protocol.ObserveReply {
	reply := &protocol.ObserveReply{}
	now := time.Now()
	for i := range request.Watches {
		id := request.Watches[i].Server
		k.mu.Lock()
		m := k.monitors[id.Server]
		k.mu.Unlock()
		if m == nil || m.service != id.Service {
			continue
		}
		reply.Servers = append(reply.Servers, protocol.Observed{
			Server: id, Suspected: m.suspected(now), Silent: m.silent(now), Statuses: k.observations(id, received),
		})
	}
	return reply
}

func (k *Tracker) observations(id group.ServerID, received time.Time) []protocol.Observation {
	service := k.cfg.Directory.Snapshot().Service(id.Service)
	if service == nil {
		return nil
	}
	var observations []protocol.Observation
	for slot := range service.Slots {
		g := k.group(group.ID{Service: id.Service, Slot: group.Slot(slot)})
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

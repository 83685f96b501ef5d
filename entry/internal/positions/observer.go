package positions

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/lease"
	"lentilwind.dev/lentilwind/protocol"
)

// Times of asking homes.
const (
	// observedPeriod is the time between two requests about groups that are read, while nobody waits.
	observedPeriod = 100 * time.Millisecond
	// heldPerSecond bounds the requests of one entry that only wait for suspicions.
	heldPerSecond = 25
	// minHeld is the shortest time for which a home holds such a request.
	minHeld = 500 * time.Millisecond
)

// observer asks one home about all the servers that this entry follows there.
type observer struct {
	keeper *Tracker
	home   netip.AddrPort
	signal chan struct{}
	cancel context.CancelFunc

	mu      sync.Mutex
	servers []group.ServerID
	// suspects holds the servers that give the home no answer, and since when.
	suspects map[group.ServerID]time.Time
}

func newObserver(k *Tracker, home netip.AddrPort, cancel context.CancelFunc) *observer {
	return &observer{
		keeper: k, home: home, signal: make(chan struct{}, 1), cancel: cancel, suspects: make(map[group.ServerID]time.Time),
	}
}

// follow replaces the servers.
func (o *observer) follow(servers []group.ServerID) {
	o.mu.Lock()
	same := slices.Equal(o.servers, servers)
	if !same {
		o.servers = servers
		for id := range o.suspects {
			if !slices.Contains(servers, id) {
				delete(o.suspects, id)
			}
		}
	}
	o.mu.Unlock()
	if !same {
		o.wake()
	}
}

func (o *observer) followed() []group.ServerID {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.servers
}

func (o *observer) wake() {
	select {
	case o.signal <- struct{}{}:
	default:
	}
}

// runActive asks at once when somebody waits, and from time to time while groups are read.
func (o *observer) runActive(ctx context.Context) {
	for ctx.Err() == nil {
		request, delay := o.next()
		if delay > 0 {
			o.sleep(ctx, delay)
			request, _ = o.next()
		}
		if len(request.Watches) == 0 {
			continue
		}
		if !o.ask(ctx, &request) {
			o.sleep(ctx, firstBackOff)
		}
	}
}

// runHeld keeps one request at the home that is answered when a suspicion begins or ends.
func (o *observer) runHeld(ctx context.Context) {
	for ctx.Err() == nil {
		request := protocol.ObserveRequest{Wait: o.keeper.heldFor()}
		o.mu.Lock()
		for _, id := range o.servers {
			_, suspected := o.suspects[id]
			request.Watches = append(request.Watches, protocol.Watch{Server: id, Suspected: suspected})
		}
		o.mu.Unlock()
		if !o.ask(ctx, &request) {
			pause(ctx, minHeld)
		}
	}
}

func pause(ctx context.Context, delay time.Duration) {
	clock := time.NewTimer(delay)
	defer clock.Stop()
	select {
	case <-ctx.Done():
	case <-clock.C:
	}
}

// heldFor spreads the requests that wait for suspicions, however many homes there are.
func (k *Tracker) heldFor() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return max(minHeld, time.Duration(len(k.observers))*time.Second/heldPerSecond)
}

func (o *observer) sleep(ctx context.Context, limit time.Duration) {
	clock := time.NewTimer(limit)
	defer clock.Stop()
	select {
	case <-ctx.Done():
	case <-clock.C:
	case <-o.signal:
	}
}

// next returns the request that is due and how long it may be put off; one without watches is not sent.
func (o *observer) next() (request protocol.ObserveRequest, delay time.Duration) {
	active := false
	var idle []protocol.Watch
	for _, id := range o.followed() {
		wants, viewed := o.keeper.wants(id)
		watch := protocol.Watch{Server: id, Suspected: o.suspected(id), Wants: wants}
		switch {
		case len(wants) > 0:
			request.Watches = append(request.Watches, watch)
		case viewed:
			active = true
			idle = append(idle, watch)
		}
	}
	if len(request.Watches) > 0 {
		request.Wait = waitLimit
		return request, 0
	}
	request.Watches = idle
	if active {
		return request, observedPeriod
	}
	return request, idlePeriod
}

func (o *observer) suspected(id group.ServerID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, suspected := o.suspects[id]
	return suspected
}

// wants returns what the waiters need of a server, and whether any of its groups has been read lately.
func (k *Tracker) wants(id group.ServerID) (wants []protocol.Want, viewed bool) {
	service := k.cfg.Directory.Snapshot().Service(id.Service)
	if service == nil {
		return nil, false
	}
	now := time.Since(k.origin)
	for slot := range service.Slots {
		g := k.group(group.ID{Service: id.Service, Slot: group.Slot(slot)})
		if g == nil || g.member(id.Server) == nil {
			continue
		}
		need := g.demand(g.member(id.Server))
		if need.write || need.fresh {
			wants = append(wants, protocol.Want{
				Slot: group.Slot(slot), Write: need.write, Term: need.term, Position: need.position,
			})
		}
		viewed = viewed || now-time.Duration(g.viewed.Load()) < activeFor
	}
	return wants, viewed
}

// ask sends one request, takes in the reply and reports whether the home answered for all servers.
func (o *observer) ask(ctx context.Context, request *protocol.ObserveRequest) bool {
	askContext, cancel := context.WithTimeout(ctx, request.Wait+answerTimeout)
	defer cancel()
	var reply protocol.ObserveReply
	sent := time.Now()
	err := o.keeper.cfg.Peers.Call(askContext, o.home, protocol.KindObserve, request, &reply)
	if ctx.Err() != nil {
		return false
	}
	missing := make(map[group.ServerID]struct{}, len(request.Watches))
	for i := range request.Watches {
		missing[request.Watches[i].Server] = struct{}{}
	}
	if err == nil {
		for i := range reply.Servers {
			if _, asked := missing[reply.Servers[i].Server]; asked {
				o.receive(&reply.Servers[i], sent)
				delete(missing, reply.Servers[i].Server)
			}
		}
	}
	if len(missing) == 0 {
		return true
	}
	left := make([]group.ServerID, 0, len(missing))
	for id := range missing {
		left = append(left, id)
	}
	o.keeper.avoid(o.home, left)
	return false
}

// receive takes in what the home knows of one server; its times can only err towards older ones.
func (o *observer) receive(observed *protocol.Observed, sent time.Time) {
	o.mu.Lock()
	if observed.Suspected {
		o.suspects[observed.Server] = sent.Add(-observed.Silent)
	} else {
		delete(o.suspects, observed.Server)
	}
	o.mu.Unlock()
	for _, observation := range observed.Statuses {
		before := observation.Before * (100 + lease.DriftPercent) / 100
		o.keeper.Observe(observed.Server.Service, observed.Server.Server, observation.Status, sent.Add(-before))
	}
}

// appendSuspects appends the servers that give the home no answer.
func (o *observer) appendSuspects(dst []protocol.Suspicion, now time.Time) []protocol.Suspicion {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, id := range o.servers {
		if since, suspected := o.suspects[id]; suspected {
			dst = append(dst, protocol.Suspicion{Service: id.Service, Server: id.Server, Silent: now.Sub(since)})
		}
	}
	return dst
}

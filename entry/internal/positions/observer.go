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

// Intervals of requests to homes.
const (
	// observePeriod is the time between two requests about groups with recent reads while no request waits.
	observePeriod = 100 * time.Millisecond
	// maxLongPollsPerSecond limits the long polls of one entry, over all homes.
	maxLongPollsPerSecond = 25
	// minLongPoll is the shortest time for which a home holds a long poll.
	minLongPoll = 500 * time.Millisecond
)

// observer asks one home about the servers that this entry does not monitor itself.
type observer struct {
	tracker *Tracker
	home    netip.AddrPort
	signal  chan struct{}
	cancel  context.CancelFunc

	mu      sync.Mutex
	servers []group.ServerID
	// suspects maps the servers that do not answer the home to the time of their last answer.
	suspects map[group.ServerID]time.Time
}

func newObserver(t *Tracker, home netip.AddrPort, cancel context.CancelFunc) *observer {
	return &observer{
		tracker: t, home: home, signal: make(chan struct{}, 1), cancel: cancel, suspects: make(map[group.ServerID]time.Time),
	}
}

// setServers replaces the servers to ask about.
func (o *observer) setServers(servers []group.ServerID) {
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

func (o *observer) watchedServers() []group.ServerID {
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

// runRequests asks at once when a request waits, and periodically while groups are read.
func (o *observer) runRequests(ctx context.Context) {
	for ctx.Err() == nil {
		request, delay := o.next()
		if delay > 0 {
			o.sleep(ctx, delay)
			request, _ = o.next()
		}
		if len(request.Watches) == 0 {
			continue
		}
		if !o.send(ctx, &request) {
			o.sleep(ctx, minBackoff)
		}
	}
}

// runLongPoll keeps one request pending at the home, which answers it when a suspicion begins or ends.
func (o *observer) runLongPoll(ctx context.Context) {
	for ctx.Err() == nil {
		request := protocol.ObserveRequest{Wait: o.tracker.longPollDuration()}
		o.mu.Lock()
		for _, id := range o.servers {
			_, suspected := o.suspects[id]
			request.Watches = append(request.Watches, protocol.WatchedServer{Server: id, Suspected: suspected})
		}
		o.mu.Unlock()
		if !o.send(ctx, &request) {
			sleepContext(ctx, minLongPoll)
		}
	}
}

func sleepContext(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// longPollDuration grows with the number of homes, so that the total rate of long polls stays bounded.
func (t *Tracker) longPollDuration() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(minLongPoll, time.Duration(len(t.observers))*time.Second/maxLongPollsPerSecond)
}

func (o *observer) sleep(ctx context.Context, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-o.signal:
	}
}

// next returns the next request and how long it may be delayed. A request without watches is not sent.
func (o *observer) next() (request protocol.ObserveRequest, delay time.Duration) {
	active := false
	var idle []protocol.WatchedServer
	for _, id := range o.watchedServers() {
		wants, recentlyRead := o.tracker.wants(id)
		watch := protocol.WatchedServer{Server: id, Suspected: o.suspected(id), Wants: wants}
		switch {
		case len(wants) > 0:
			request.Watches = append(request.Watches, watch)
		case recentlyRead:
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
		return request, observePeriod
	}
	return request, idlePeriod
}

func (o *observer) suspected(id group.ServerID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, suspected := o.suspects[id]
	return suspected
}

// wants returns what the waiters need from a server, and whether any of its groups was read recently.
func (t *Tracker) wants(id group.ServerID) (wants []protocol.StatusDemand, recentlyRead bool) {
	service := t.cfg.Directory.Snapshot().Service(id.Service)
	if service == nil {
		return nil, false
	}
	now := time.Since(t.origin)
	for slot := range service.Slots {
		g := t.group(group.ID{Service: id.Service, Slot: group.Slot(slot)})
		if g == nil || g.member(id.Server) == nil {
			continue
		}
		required := g.requirementOf(g.member(id.Server))
		if required.write || required.fresh {
			wants = append(wants, protocol.StatusDemand{
				Slot: group.Slot(slot), Write: required.write, Term: required.term, Position: required.position,
			})
		}
		recentlyRead = recentlyRead || now-time.Duration(g.lastRead.Load()) < activeFor
	}
	return wants, recentlyRead
}

// send sends one request, records the reply and reports whether the home answered for all servers.
func (o *observer) send(ctx context.Context, request *protocol.ObserveRequest) bool {
	callCtx, cancel := context.WithTimeout(ctx, request.Wait+answerTimeout)
	defer cancel()
	var reply protocol.ObserveReply
	sentAt := time.Now()
	err := o.tracker.cfg.Peers.Call(callCtx, o.home, protocol.KindObserve, request, &reply)
	if ctx.Err() != nil {
		return false
	}
	missing := make(map[group.ServerID]struct{}, len(request.Watches))
	for i := range request.Watches {
		missing[request.Watches[i].Server] = struct{}{}
	}
	if err == nil {
		for i := range reply.Servers {
			if _, requested := missing[reply.Servers[i].Server]; requested {
				o.handleObserved(&reply.Servers[i], sentAt)
				delete(missing, reply.Servers[i].Server)
			}
		}
	}
	if len(missing) == 0 {
		return true
	}
	unanswered := make([]group.ServerID, 0, len(missing))
	for id := range missing {
		unanswered = append(unanswered, id)
	}
	o.tracker.avoidHome(o.home, unanswered)
	return false
}

// handleObserved records what the home knows of one server. It extends the reported ages by the maximum timer drift, so that a
// sample is never taken for newer than it is.
func (o *observer) handleObserved(observed *protocol.ObservedServer, sentAt time.Time) {
	o.mu.Lock()
	if observed.Suspected {
		o.suspects[observed.Server] = sentAt.Add(-observed.Silent)
	} else {
		delete(o.suspects, observed.Server)
	}
	o.mu.Unlock()
	for _, observation := range observed.Statuses {
		before := observation.Before * (100 + lease.DriftPercent) / 100
		o.tracker.Observe(observed.Server.Service, observed.Server.Server, observation.Status, sentAt.Add(-before))
	}
}

// appendSuspects appends the servers that do not answer the home.
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

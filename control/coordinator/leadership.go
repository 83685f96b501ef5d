package coordinator

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/journal"
	"lentilwind.dev/lentilwind/policy"
	"lentilwind.dev/lentilwind/protocol"
	"lentilwind.dev/lentilwind/quota"
)

// Times of a leader's duties.
const (
	dutyPeriod = 50 * time.Millisecond
	// entrySilent is how long an entry counts without a renewal.
	entrySilent = 3 * time.Second
	// entryForgotten is the silence after which an entry's part of the quota is given to the others.
	entryForgotten = 30 * time.Second
	proposeTime    = 2 * time.Second
)

// contact is what the leader knows of one entry.
type contact struct {
	entry   fleet.Entry
	heard   time.Time
	reports []fleet.ServerReport
}

// leadership holds what a process knows only while it leads; all of it begins anew with each term.
type leadership struct {
	c *Coordinator

	mu      sync.Mutex
	term    journal.Term
	roster  *roster
	quota   *quota.Leader
	version policy.Version
	listed  []inventory.InstanceName
	entries map[inventory.InstanceName]contact
	// live are the entries that the newest roster names.
	live    []fleet.Entry
	changed notifier
	duty    *promoter
	// recording is true while a proposal of this process for the record is under way.
	recording atomic.Bool
}

func newLeadership(c *Coordinator) *leadership {
	l := &leadership{c: c}
	l.changed.reset()
	return l
}

// hold returns with the lock held and the parts of the current term, or false if this process does not lead.
func (l *leadership) hold() bool {
	term, leads := l.c.leading()
	if !leads {
		return false
	}
	l.mu.Lock()
	if l.term != term {
		now := l.c.cfg.Now()
		l.term = term
		l.roster = newRoster(term, l.c.cfg.AnnounceInterval, l.c.state.Load().Servers, now)
		l.quota = quota.NewLeader(quota.FastFailoverSettings(), uint64(term), l.c.state.Load().Reserves, now)
		l.version, l.listed = 0, nil
		l.entries, l.live = make(map[inventory.InstanceName]contact), nil
		l.duty = newPromoter(l.c, l.roster)
	}
	l.configure()
	l.quota.ReservesStored(l.c.state.Load().Reserves)
	return true
}

// configure gives the quota the newest workspaces and entries.
func (l *leadership) configure() {
	current := l.c.policy.Load()
	listed := l.c.state.Load().Entries
	if current == nil || current.Version == l.version && slices.Equal(listed, l.listed) {
		return
	}
	l.version, l.listed = current.Version, listed
	workspaces := make([]inventory.Workspace, 0, len(current.List))
	for _, w := range current.List {
		workspaces = append(workspaces, inventory.Workspace{Name: w.Name, Rate: w.Rate, Burst: w.Burst})
	}
	l.quota.Configure(workspaces, listed, l.c.cfg.Now())
}

// run does what a leader does by itself.
func (l *leadership) run(ctx context.Context) error {
	ticker := time.NewTicker(dutyPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if !l.hold() {
			continue
		}
		now := l.c.cfg.Now()
		if l.roster.expire(now) {
			l.changed.notify()
		}
		l.noteLive(now)
		duty, reports := l.duty, l.reports(now)
		commands := l.unrecorded(now)
		l.mu.Unlock()
		for _, cmd := range commands {
			l.record(ctx, cmd)
		}
		duty.look(ctx, now, reports)
	}
}

// reports returns the fresh reports of entries by server.
func (l *leadership) reports(now time.Time) []sighting {
	var all []sighting
	for _, e := range l.entries {
		for _, report := range e.reports {
			all = append(all, sighting{ServerReport: report, age: now.Sub(e.heard)})
		}
	}
	return all
}

// wantedEntries returns the entries that should be recorded, nil if the record is right.
func (l *leadership) wantedEntries(now time.Time) []inventory.InstanceName {
	recorded := l.c.state.Load().Entries
	var wanted []inventory.InstanceName
	for _, name := range recorded {
		e, found := l.entries[name]
		silent := now.Sub(e.heard)
		if !found {
			silent = now.Sub(l.roster.began)
		}
		if silent < entryForgotten {
			wanted = append(wanted, name)
		}
	}
	for name := range l.entries {
		if !slices.Contains(wanted, name) {
			wanted = append(wanted, name)
		}
	}
	slices.Sort(wanted)
	if len(wanted) == 0 || slices.Equal(wanted, recorded) {
		return nil
	}
	return wanted
}

// unrecorded returns what the next leader should know and the journal does not; one proposal is under way at a time.
func (l *leadership) unrecorded(now time.Time) []command {
	var commands []command
	if wanted := l.wantedEntries(now); wanted != nil {
		commands = append(commands, command{Entries: wanted})
	}
	if changed := l.roster.unrecorded(l.c.state.Load().Servers); len(changed) > 0 {
		commands = append(commands, command{Servers: changed})
	}
	if len(commands) > 0 || l.recording.Load() {
		return commands
	}
	if reserves, changed := l.quota.ProposeReserves(now); changed {
		commands = append(commands, command{Reserves: &reserves})
	}
	return commands
}

// record proposes without waiting: what is lost is proposed again with the next look.
func (l *leadership) record(ctx context.Context, cmd command) {
	if l.recording.Swap(true) {
		return
	}
	go func() {
		defer l.recording.Store(false)
		ctx, cancel := context.WithTimeout(ctx, proposeTime)
		defer cancel()
		if _, err := l.c.propose(ctx, cmd); err != nil {
			l.c.cfg.Log.Warn().Err(err).Msg("rosterNotRecorded")
		}
	}()
}

// liveEntries returns the entries that share the databases' connections, ordered by name.
func (l *leadership) liveEntries(now time.Time) []fleet.Entry {
	var live []fleet.Entry
	for _, e := range l.entries {
		if now.Sub(e.heard) < entrySilent && !e.entry.Leaving {
			live = append(live, e.entry)
		}
	}
	slices.SortFunc(live, func(a, b fleet.Entry) int { return cmp.Compare(a.Name, b.Name) })
	return live
}

// onRenew answers an entry's renewal, at the latest when its wait is over.
func (l *leadership) onRenew(ctx context.Context, _ inventory.InstanceName, request fleet.RenewRequest) (fleet.RenewReply, error) {
	c := l.c
	if _, leads := c.leading(); !leads {
		return l.relay(ctx, request)
	}
	began := c.cfg.Now()
	l.note(request, began)
	timer := time.NewTimer(min(request.Wait, c.cfg.Lease/4))
	defer timer.Stop()
	for {
		rosterChanged, stateChanged := l.changed.watch(), c.changed.watch()
		reply, news, ok := l.reply(request)
		if !ok {
			return fleet.RenewReply{}, c.notLeader()
		}
		if news {
			return reply, nil
		}
		select {
		case <-rosterChanged:
		case <-stateChanged:
		case <-timer.C:
			reply, _, ok = l.reply(request)
			if !ok {
				return fleet.RenewReply{}, c.notLeader()
			}
			return reply, nil
		case <-ctx.Done():
			return fleet.RenewReply{}, ctx.Err()
		}
	}
}

func (l *leadership) note(request fleet.RenewRequest, now time.Time) {
	if !l.hold() {
		return
	}
	defer l.mu.Unlock()
	l.entries[request.Entry.Name] = contact{entry: request.Entry, heard: now, reports: request.Reports}
	l.noteLive(now)
}

// noteLive makes a new roster when the live entries have changed.
func (l *leadership) noteLive(now time.Time) {
	live := l.liveEntries(now)
	if slices.Equal(live, l.live) {
		return
	}
	l.live = live
	l.roster.bump()
	l.changed.notify()
}

// reply returns what an entry is told now, and whether there is anything new in it.
func (l *leadership) reply(request fleet.RenewRequest) (fleet.RenewReply, bool, bool) {
	if !l.hold() {
		return fleet.RenewReply{}, false, false
	}
	defer l.mu.Unlock()
	now := l.c.cfg.Now()
	document := l.c.state.Load().Document
	reply := fleet.RenewReply{Lease: l.c.cfg.Lease, Version: document.Version}
	if document.Version > request.Version {
		reply.Document = &document
	}
	if version, _ := l.roster.current(now); version != request.Roster {
		snapshot := l.roster.snapshot(now, l.live)
		reply.Roster = &snapshot
	}
	news := reply.Document != nil || reply.Roster != nil
	if news {
		reply.Controls = l.c.controls()
	}
	// The state was read under a lease that has not ended since.
	_, leads := l.c.leading()
	return reply, news, leads
}

// relay passes an entry's renewal on to the leader that this process can reach.
func (l *leadership) relay(ctx context.Context, request fleet.RenewRequest) (fleet.RenewReply, error) {
	address := l.c.leaderAddress()
	if !request.Relay || address == "" {
		return fleet.RenewReply{}, l.c.notLeader()
	}
	request.Relay = false
	var reply fleet.RenewReply
	err := l.c.cfg.Client.Call(ctx, address, fleet.KindRenew, request, &reply)
	return reply, err
}

// onDraw answers an entry that asks for a part of the quota.
func (l *leadership) onDraw(ctx context.Context, _ inventory.InstanceName, request protocol.DrawRequest) (protocol.DrawReply, error) {
	if !l.hold() {
		return protocol.DrawReply{}, l.c.notLeader()
	}
	defer l.mu.Unlock()
	now := l.c.cfg.Now()
	reply := l.quota.HandleDraw(&request, now)
	if l.pressed(request) {
		l.release(context.WithoutCancel(ctx), now)
	}
	return reply, nil
}

// pressed tells whether a workspace that asks has little left beside its reserve.
func (l *leadership) pressed(request protocol.DrawRequest) bool {
	return slices.ContainsFunc(request.Draws, func(d protocol.Draw) bool { return l.quota.ShouldReleaseReserve(d.Workspace) })
}

// release gives reserves up that stand in the way of requests.
func (l *leadership) release(ctx context.Context, now time.Time) {
	if l.recording.Load() {
		return
	}
	if reserves, changed := l.quota.ProposeReserves(now); changed {
		l.record(ctx, command{Reserves: &reserves})
	}
}

// announce takes in what a database says of itself.
func (l *leadership) announce(s fleet.Server) bool {
	if !l.hold() {
		return false
	}
	defer l.mu.Unlock()
	if l.roster.announce(l.c.cfg.Now(), s) {
		l.c.cfg.Log.Info().Str("server", string(s.Name)).Str("service", string(s.Service)).Bool("primary", s.Primary).
			Bool("leaving", s.Leaving).Bool("gone", s.Gone).Int64("incarnation", s.Incarnation).Msg("serverAnnounced")
		l.changed.notify()
	}
	return true
}

package coordinator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lentilwind.dev/lentilwind/coldstart"
	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/journal"
	"lentilwind.dev/lentilwind/policy"
	"lentilwind.dev/lentilwind/protocol"
	"lentilwind.dev/lentilwind/quota"
	"lentilwind.dev/lentilwind/succession"
)

// Intervals and timeouts of a leader.
const (
	leaderTickInterval = 50 * time.Millisecond
	// entryTimeout is how long an entry counts as live after a renewal.
	entryTimeout = 3 * time.Second
	// entryRemoveAfter is how long after its last renewal an entry's share of the quota is given to the others.
	entryRemoveAfter = 30 * time.Second
	proposeTimeout   = 2 * time.Second
	// primaryLease is how long an entry may use the designated primaries without control. It covers the election of a leader. A
	// replacement waits for it if an entry is silent.
	primaryLease = 1100 * time.Millisecond
)

// entryContact holds the last renewal of one entry.
type entryContact struct {
	entry       fleet.Entry
	lastContact time.Time
	reports     []fleet.ServerReport
	// designations is the table of designated primaries that the entry obeys.
	designations fleet.Epoch
}

// leaderState holds what a process knows only while it leads; it is reset with each term.
type leaderState struct {
	c *Coordinator

	mu                sync.Mutex
	term              journal.Term
	roster            *roster
	quota             *quota.Leader
	version           policy.Version
	configuredEntries []inventory.InstanceName
	// configuredCold are the cold databases that have an account in the quota's ledger.
	configuredCold []coldServer
	entries        map[inventory.InstanceName]entryContact
	// live are the entries in the latest roster.
	live      []fleet.Entry
	changed   notifier
	primaries *primaryMonitor
	// recordInFlight is true while a proposal of recordAsync is in flight.
	recordInFlight atomic.Bool
}

func newLeaderState(c *Coordinator) *leaderState {
	l := &leaderState{c: c}
	l.changed.reset()
	return l
}

// lockIfLeading locks mu and prepares the state of the current term; it returns false, without the lock, if this process does not
// lead. What is decided as of the returned time is decided under the leader lease, however long that takes.
func (l *leaderState) lockIfLeading() (time.Time, bool) {
	l.mu.Lock()
	now := l.c.cfg.Now()
	term, leads := l.c.leadingAt(now)
	if !leads {
		l.mu.Unlock()
		return now, false
	}
	if l.term != term {
		l.term = term
		l.roster = newRoster(term, l.c.cfg.AnnounceInterval, l.c.state.Load().Servers, now)
		l.quota = quota.NewLeader(quota.FastFailoverSettings(), uint64(term), l.c.state.Load().Reserves, now)
		l.version, l.configuredEntries, l.configuredCold = 0, nil, nil
		l.entries, l.live = make(map[inventory.InstanceName]entryContact), nil
		l.primaries = newPrimaryMonitor(l.c, l.roster)
	}
	l.configureQuota()
	l.quota.ReservesStored(l.c.state.Load().Reserves)
	return now, true
}

// configureQuota passes the latest workspaces and entries to the quota.
func (l *leaderState) configureQuota() {
	current := l.c.policy.Load()
	entries := l.c.state.Load().Entries
	cold := l.roster.coldServers()
	if current == nil || current.Version == l.version && slices.Equal(entries, l.configuredEntries) && slices.Equal(cold, l.configuredCold) {
		return
	}
	l.version, l.configuredEntries, l.configuredCold = current.Version, entries, cold
	workspaces := make([]inventory.Workspace, 0, len(current.WorkspaceList))
	for _, w := range current.WorkspaceList {
		workspaces = append(workspaces, inventory.Workspace{Name: w.Name, Rate: w.Rate, Burst: w.Burst})
	}
	for _, s := range cold {
		if service := current.Services[s.service]; service != nil && service.ColdRate > 0 {
			limits := coldstart.Limits(service.ColdRate)
			workspaces = append(workspaces, inventory.Workspace{Name: coldstart.Account(s.name), Rate: limits.Rate, Burst: limits.Burst})
		}
	}
	l.quota.Configure(workspaces, entries, l.c.cfg.Now())
}

// run performs the periodic work of the leader.
func (l *leaderState) run(ctx context.Context) error {
	ticker := time.NewTicker(leaderTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now, leads := l.lockIfLeading()
		if !leads {
			continue
		}
		if l.roster.expire(now) {
			l.changed.notify()
		}
		l.updateLiveEntries(now)
		primaries, reports := l.primaries, l.agedReports(now)
		commands := l.pendingCommands(now)
		l.mu.Unlock()
		for _, cmd := range commands {
			l.recordAsync(ctx, cmd)
		}
		primaries.check(ctx, now, reports)
	}
}

// agedReports returns the last server reports of all entries, each with its age.
func (l *leaderState) agedReports(now time.Time) []agedReport {
	var all []agedReport
	for _, e := range l.entries {
		for _, report := range e.reports {
			all = append(all, agedReport{ServerReport: report, age: now.Sub(e.lastContact)})
		}
	}
	return all
}

// entriesToRecord returns the entries that should be stored in the replicated state, or nil if they are stored already.
func (l *leaderState) entriesToRecord(now time.Time) []inventory.InstanceName {
	recorded := l.c.state.Load().Entries
	var wanted []inventory.InstanceName
	for _, name := range recorded {
		e, found := l.entries[name]
		silence := now.Sub(e.lastContact)
		if !found {
			silence = now.Sub(l.roster.startedAt)
		}
		if silence < entryRemoveAfter {
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

// pendingCommands returns the changes that the replicated state lacks and the next leader needs; one proposal is in flight at a
// time.
func (l *leaderState) pendingCommands(now time.Time) []command {
	var commands []command
	if wanted := l.entriesToRecord(now); wanted != nil {
		commands = append(commands, command{Entries: wanted})
	}
	if changed := l.roster.pendingChanges(l.c.state.Load().Servers); len(changed) > 0 {
		commands = append(commands, command{Servers: changed})
	}
	if terms := l.primaries.unrecordedTerms(l.c.state.Load().Terms); terms != nil {
		commands = append(commands, command{Terms: terms})
	}
	if len(commands) > 0 || l.recordInFlight.Load() {
		return commands
	}
	if reserves, changed := l.quota.ProposeReserves(now); changed {
		commands = append(commands, command{Reserves: &reserves})
	}
	return commands
}

// recordAsync proposes a command without waiting; a lost proposal is repeated on the next tick.
func (l *leaderState) recordAsync(ctx context.Context, cmd command) {
	if l.recordInFlight.Swap(true) {
		return
	}
	go func() {
		defer l.recordInFlight.Store(false)
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		if _, err := l.c.propose(ctx, cmd); err != nil {
			l.c.cfg.Log.Warn().Err(err).Msg("rosterNotRecorded")
		}
	}()
}

// leaseHolders returns the entries that may hold leases on primaries, and the time since which this process leads.
func (l *leaderState) leaseHolders() (holders []succession.LeaseHolder, since time.Time, leads bool) {
	if _, leads = l.lockIfLeading(); !leads {
		return nil, time.Time{}, false
	}
	defer l.mu.Unlock()
	for _, name := range l.c.state.Load().Entries {
		e := l.entries[name]
		holders = append(holders, succession.LeaseHolder{LastContact: e.lastContact, Confirmed: e.designations})
	}
	return holders, l.roster.startedAt, true
}

// liveEntries returns the entries that share the databases' connections, ordered by name.
func (l *leaderState) liveEntries(now time.Time) []fleet.Entry {
	var live []fleet.Entry
	for _, e := range l.entries {
		if now.Sub(e.lastContact) < entryTimeout && !e.entry.Leaving {
			live = append(live, e.entry)
		}
	}
	slices.SortFunc(live, func(a, b fleet.Entry) int { return cmp.Compare(a.Name, b.Name) })
	return live
}

// handleRenew answers an entry's renewal as soon as there is something new, and at the latest when its wait is over.
func (l *leaderState) handleRenew(ctx context.Context, _ inventory.InstanceName, request fleet.RenewRequest) (fleet.RenewReply, error) {
	c := l.c
	if _, leads := c.leading(); !leads {
		return l.relayRenewal(ctx, request)
	}
	received := c.cfg.Now()
	l.storeRenewal(request, received)
	timer := time.NewTimer(min(request.Wait, c.cfg.Lease/4))
	defer timer.Stop()
	for {
		rosterChanged, stateChanged := l.changed.watch(), c.changed.watch()
		reply, hasChanges, ok := l.renewReply(request)
		if !ok {
			return fleet.RenewReply{}, c.notLeaderRefusal()
		}
		if hasChanges {
			return reply, nil
		}
		select {
		case <-rosterChanged:
		case <-stateChanged:
		case <-timer.C:
			reply, _, ok = l.renewReply(request)
			if !ok {
				return fleet.RenewReply{}, c.notLeaderRefusal()
			}
			return reply, nil
		case <-ctx.Done():
			return fleet.RenewReply{}, ctx.Err()
		}
	}
}

func (l *leaderState) storeRenewal(request fleet.RenewRequest, now time.Time) {
	if _, leads := l.lockIfLeading(); !leads {
		return
	}
	defer l.mu.Unlock()
	l.entries[request.Entry.Name] = entryContact{entry: request.Entry, lastContact: now, reports: request.Reports, designations: request.Designations}
	l.updateLiveEntries(now)
}

// updateLiveEntries publishes a new roster version if the set of live entries has changed.
func (l *leaderState) updateLiveEntries(now time.Time) {
	live := l.liveEntries(now)
	if slices.Equal(live, l.live) {
		return
	}
	l.roster.entriesChanged(changedEntries(l.live, live))
	l.live = live
	l.changed.notify()
}

// changedEntries returns the names of the entries that differ between two lists.
func changedEntries(before, after []fleet.Entry) []inventory.InstanceName {
	var names []inventory.InstanceName
	for _, e := range before {
		if !slices.Contains(after, e) {
			names = append(names, e.Name)
		}
	}
	for _, e := range after {
		if !slices.Contains(before, e) && !slices.Contains(names, e.Name) {
			names = append(names, e.Name)
		}
	}
	return names
}

// renewReply returns the reply to a renewal, whether it contains anything new, and whether this process leads.
func (l *leaderState) renewReply(request fleet.RenewRequest) (fleet.RenewReply, bool, bool) {
	now, leads := l.lockIfLeading()
	if !leads {
		return fleet.RenewReply{}, false, false
	}
	defer l.mu.Unlock()
	current := l.c.state.Load()
	document := current.Document
	reply := fleet.RenewReply{Lease: l.c.cfg.Lease, Version: document.Version}
	if slices.Contains(current.Entries, request.Entry.Name) {
		// Only recorded entries get leases, so that a later leader knows all entries whose leases it must wait for.
		reply.PrimaryLease = primaryLease
	}
	if current.Epoch > request.Designations {
		table := current.designations()
		reply.Designations = &table
	}
	if current.EvacuationVersion > request.Evacuations {
		reply.Evacuations = l.c.evacuationList(current, now)
	}
	if document.Version > request.Version {
		reply.Document = &document
	}
	if version, _ := l.roster.currentVersion(now); version != request.Roster {
		next := l.roster.since(now, request.Roster, l.live)
		reply.Roster = &next
	}
	hasChanges := reply.Document != nil || reply.Roster != nil || reply.Designations != nil || reply.Evacuations != nil
	if controls := l.c.liveControls(now); fleet.DigestControls(controls) != request.Controls {
		reply.Controls = controls
		// An entry of an older version sends no digest. Its renewals must wait all the same.
		hasChanges = hasChanges || request.Controls != 0
	}
	// If the leader lease still holds now, it also held when the state was read.
	_, leads = l.c.leading()
	return reply, hasChanges, leads
}

// relayRenewal forwards an entry's renewal to the leader if the entry asks for it.
func (l *leaderState) relayRenewal(ctx context.Context, request fleet.RenewRequest) (fleet.RenewReply, error) {
	address := l.c.leaderAddress()
	if !request.Relay || address == "" {
		return fleet.RenewReply{}, l.c.notLeaderRefusal()
	}
	request.Relay = false
	var reply fleet.RenewReply
	err := l.c.cfg.Client.Call(ctx, address, fleet.KindRenew, request, &reply)
	return reply, err
}

// handleDraw answers an entry that draws tokens from the quota.
func (l *leaderState) handleDraw(ctx context.Context, _ inventory.InstanceName, request protocol.DrawRequest) (protocol.DrawReply, error) {
	now, leads := l.lockIfLeading()
	if !leads {
		return protocol.DrawReply{}, l.c.notLeaderRefusal()
	}
	defer l.mu.Unlock()
	reply := l.quota.HandleDraw(&request, now)
	if l.needsRelease(request) {
		l.releaseReserves(context.WithoutCancel(ctx), now)
	}
	return reply, nil
}

// needsRelease reports whether a requested workspace has few tokens left besides its reserve.
func (l *leaderState) needsRelease(request protocol.DrawRequest) bool {
	return slices.ContainsFunc(request.Draws, func(d protocol.Draw) bool { return l.quota.ShouldReleaseReserve(d.Workspace) })
}

// releaseReserves reduces reserves that hold back tokens from requests.
func (l *leaderState) releaseReserves(ctx context.Context, now time.Time) {
	if l.recordInFlight.Load() {
		return
	}
	if reserves, changed := l.quota.ProposeReserves(now); changed {
		l.recordAsync(ctx, command{Reserves: &reserves})
	}
}

// announceServer records an announcement of a database; it returns errNotLeading if this process does not lead.
//
// That a database leaves is stored before it is acknowledged: its drain time begins then, and a next leader that did not know would let it
// begin anew.
func (l *leaderState) announceServer(ctx context.Context, s fleet.Server) error {
	now, leads := l.lockIfLeading()
	if !leads {
		return errNotLeading
	}
	result, roster := l.roster.announce(now, s), l.roster
	if result == announcementChanged {
		l.changed.notify()
	}
	l.mu.Unlock()
	l.logAnnouncement(s, result)
	if result == announcementHeld || !s.Leaving {
		return nil
	}
	leaving, found := roster.unrecordedLeaving(s.Name, l.c.state.Load().Servers)
	if !found {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, leavingTimeout)
	defer cancel()
	if _, err := l.c.propose(ctx, command{Servers: []fleet.Server{leaving}}); err != nil {
		l.c.cfg.Log.Warn().Err(err).Msg("rosterNotRecorded")
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}

// errNotLeading means that this process is not the leader.
var errNotLeading = errors.New("coordinator: this process does not lead")

func (l *leaderState) logAnnouncement(s fleet.Server, result announcementResult) {
	event := "serverAnnounced"
	switch result {
	case announcementUnchanged:
		return
	case announcementHeld:
		event = "announcementHeld"
	case announcementChanged:
	}
	l.c.cfg.Log.Info().Str("server", string(s.Name)).Str("service", string(s.Service)).Str("address", s.Address).Bool("primary", s.Primary).
		Bool("leaving", s.Leaving).Bool("gone", s.Gone).Int64("incarnation", s.Incarnation).Uint64("sequence", s.Sequence).Msg(event)
}

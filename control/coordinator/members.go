package coordinator

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/journal"
	"lentilwind.dev/lentilwind/protocol"
)

// Intervals and timeouts of membership changes.
const (
	// registerInterval is the time between two registrations of a process.
	registerInterval = 400 * time.Millisecond
	registerTimeout  = 700 * time.Millisecond
	// rereadInterval is the time without an answer of a leader after which the settings are read again.
	rereadInterval = 2 * time.Second
	// standbyTimeout is how long after its last registration a process may be added as a member.
	standbyTimeout = 1500 * time.Millisecond
	// replaceAfter is how long a member may be silent before it is replaced; a restart takes about a second.
	replaceAfter = 2500 * time.Millisecond
	// removeLearnerAfter is how long a learner, which has never voted, may be silent before it is removed.
	removeLearnerAfter = 4 * time.Second
	maxMembers         = 7
	// seedNoticeInterval is the time between two notices to the seeds that have not registered.
	seedNoticeInterval = 2 * time.Second
)

// standby is a control process that is not a member but may become one.
type standby struct {
	name        inventory.InstanceName
	address     string
	lastContact time.Time
}

// membershipState tracks standby processes and the silence of members; zero times stand for never.
type membershipState struct {
	mu       sync.Mutex
	standbys map[journal.MemberID]standby
	// silenceBaseline is the time from which this leader counts the silence of members; it is set once per term.
	silenceBaseline time.Time
	baselineTerm    journal.Term
	// replacedMember is the ID of this process's member once it has been replaced, so that the loop restarts with an empty folder.
	replacedMember atomic.Uint64
}

// registerLoop periodically registers this process with the leader, and learns whether it is a member.
func (c *Coordinator) registerLoop(ctx context.Context) error {
	ticker := time.NewTicker(registerInterval)
	defer ticker.Stop()
	answered, noticed := c.cfg.Now(), time.Time{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := c.cfg.Now()
		if _, leads := c.leading(); leads {
			answered = now
			c.reconcileMembers(ctx)
			if now.Sub(noticed) >= seedNoticeInterval {
				noticed = now
				c.notifyUnregisteredSeeds(ctx, now)
			}
			continue
		}
		if c.registerWithLeader(ctx) {
			answered = now
		} else if now.Sub(answered) >= rereadInterval {
			answered = now
			if seeds := c.cfg.RereadSeeds(); len(seeds) > 0 {
				c.SetSeeds(seeds)
			}
		}
	}
}

// notifyUnregisteredSeeds sends the addresses of the control processes to the seeds that have not registered. Such a seed may know none of
// them, because it has lost its data folder, and the entries that start ask only the seeds.
func (c *Coordinator) notifyUnregisteredSeeds(ctx context.Context, now time.Time) {
	known := c.liveControls(now)
	for _, seed := range *c.seeds.Load() {
		if slices.Contains(known, seed) {
			continue
		}
		c.group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, registerTimeout)
			defer cancel()
			if err := c.cfg.Client.Call(ctx, seed, fleet.KindControls, fleet.ControlList{Addresses: known}, &fleet.Empty{}); err != nil {
				c.cfg.Log.Debug().Err(err).Str("address", seed).Msg("seedNotNotified")
			}
			return nil
		})
	}
}

// handleControls saves the addresses of the control processes; the next registration uses them.
func (c *Coordinator) handleControls(_ context.Context, _ inventory.InstanceName, list fleet.ControlList) (fleet.Empty, error) {
	known := slices.Clone(list.Addresses)
	if saved := c.savedPeers.Load(); saved != nil {
		// Addresses are dropped only for the list of a leader that has answered a registration.
		for _, address := range *saved {
			if !slices.Contains(known, address) {
				known = append(known, address)
			}
		}
	}
	c.saveKnownPeers(known)
	return fleet.Empty{}, nil
}

// registerWithLeader reports whether a leader has answered.
func (c *Coordinator) registerWithLeader(ctx context.Context) bool {
	v := c.view.Load()
	if v.self == 0 {
		return false
	}
	registration := fleet.Registration{Member: v.self, Name: c.cfg.Instance, Address: c.cfg.Address, Fresh: v.fresh}
	reply, ok := c.sendRegistration(ctx, registration)
	if ok && !reply.Member && !v.fresh {
		c.members.replacedMember.Store(uint64(v.self))
		select {
		case c.tasks <- func(time.Time) []journal.Effect { return nil }:
		case <-ctx.Done():
		}
	}
	return ok
}

// sendRegistration tries all known control processes until the leader answers; other processes may return the leader's address.
func (c *Coordinator) sendRegistration(ctx context.Context, registration fleet.Registration) (fleet.RegistrationReply, bool) {
	addresses := c.controlAddresses()
	for i := 0; i < len(addresses); i++ {
		if addresses[i] == c.cfg.Address {
			continue
		}
		reply, err := c.registerAt(ctx, addresses[i], registration)
		if err == nil {
			c.lastLeader.Store(&addresses[i])
			c.saveKnownPeers(reply.Controls)
			return reply, true
		}
		var refused *protocol.Refusal
		if errors.As(err, &refused) && refused.Leader != "" && !slices.Contains(addresses, refused.Leader) {
			addresses = append(addresses, refused.Leader)
		}
	}
	return fleet.RegistrationReply{}, false
}

func (c *Coordinator) registerAt(ctx context.Context, address string, registration fleet.Registration) (fleet.RegistrationReply, error) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	var reply fleet.RegistrationReply
	err := c.cfg.Client.Call(ctx, address, fleet.KindRegister, registration, &reply)
	return reply, err
}

// liveControls returns the addresses of the members and of the processes that have registered recently. Only the leader knows the latter.
func (c *Coordinator) liveControls(now time.Time) []string {
	var addresses []string
	for _, member := range c.view.Load().membership.Members {
		addresses = append(addresses, member.Address)
	}
	c.members.mu.Lock()
	defer c.members.mu.Unlock()
	for _, s := range c.members.standbys {
		if now.Sub(s.lastContact) <= standbyTimeout && !slices.Contains(addresses, s.address) {
			addresses = append(addresses, s.address)
		}
	}
	return addresses
}

// controlAddresses returns the addresses of all known control processes, the leader first.
func (c *Coordinator) controlAddresses() []string {
	v := c.view.Load()
	var addresses []string
	add := func(address string) {
		if address != "" && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	add(v.leaderAddress)
	if last := c.lastLeader.Load(); last != nil {
		add(*last)
	}
	for _, member := range v.membership.Members {
		add(member.Address)
	}
	for _, address := range *c.seeds.Load() {
		add(address)
	}
	if peers := c.savedPeers.Load(); peers != nil {
		for _, address := range *peers {
			add(address)
		}
	}
	c.members.mu.Lock()
	defer c.members.mu.Unlock()
	for _, s := range c.members.standbys {
		add(s.address)
	}
	return addresses
}

// leaderAddress returns the last known address of the leader, empty if this process leads or none is known. A process that is not a
// member knows it from its registration.
func (c *Coordinator) leaderAddress() string {
	v := c.view.Load()
	if v.leader == v.self && v.leader != 0 {
		return ""
	}
	if v.leaderAddress != "" {
		return v.leaderAddress
	}
	if last := c.lastLeader.Load(); last != nil {
		return *last
	}
	return ""
}

// handleRegister answers a registration; only the leader does.
func (c *Coordinator) handleRegister(_ context.Context, _ inventory.InstanceName, r fleet.Registration) (fleet.RegistrationReply, error) {
	if _, leads := c.leading(); !leads {
		return fleet.RegistrationReply{}, c.notLeaderRefusal()
	}
	v := c.view.Load()
	_, member := v.membership.Find(r.Member)
	if !member && !v.allCommitted {
		// A process that learns that it is not a member clears its folder, so the membership must be committed first.
		return fleet.RegistrationReply{}, &protocol.Refusal{Code: protocol.CodeUnavailable, Message: "the members are changing"}
	}
	if !member && r.Fresh {
		c.members.mu.Lock()
		c.members.standbys[r.Member] = standby{name: r.Name, address: r.Address, lastContact: c.cfg.Now()}
		c.members.mu.Unlock()
	}
	reply := fleet.RegistrationReply{Member: member, Controls: c.liveControls(c.cfg.Now())}
	if _, leads := c.leading(); !leads {
		// Another leader may have changed the members since they were read.
		return fleet.RegistrationReply{}, c.notLeaderRefusal()
	}
	return reply, nil
}

func (c *Coordinator) notLeaderRefusal() *protocol.Refusal {
	return &protocol.Refusal{Code: protocol.CodeNotLeader, Message: "another control process leads", Leader: c.leaderAddress()}
}

// reconcileMembers moves the membership towards the wanted number of members, one change at a time.
func (c *Coordinator) reconcileMembers(ctx context.Context) {
	err := c.runOnLoop(ctx, func(now time.Time) []journal.Effect {
		change, needed := c.nextMembershipChange(now)
		if !needed {
			return nil
		}
		_, effects, err := c.machine.ChangeMembership(now, change)
		if err != nil {
			c.cfg.Log.Debug().Err(err).Msg("memberChangeRefused")
			return nil
		}
		var added journal.Member
		if change.Add != nil {
			added = *change.Add
		}
		c.cfg.Log.Info().Uint64("term", uint64(c.machine.Term())).Str("add", added.Address).Uint64("replaces", uint64(added.Replaces)).
			Uint64("remove", uint64(change.Remove)).Msg("membersChanged")
		return effects
	})
	if err != nil {
		c.cfg.Log.Debug().Err(err).Msg("memberChangeAbandoned")
	}
}

// nextMembershipChange returns the next change: a dead learner is removed, a lost member is replaced, a missing member is added.
func (c *Coordinator) nextMembershipChange(now time.Time) (journal.MembershipChange, bool) {
	current := c.machine.Membership()
	available := c.availableStandbys(now, current)
	learners := 0
	for _, p := range c.machine.Progress() {
		silence := now.Sub(c.lastContact(now, p))
		if p.Member.Learner {
			learners++
			if silence > removeLearnerAfter {
				return journal.MembershipChange{Remove: p.Member.ID}, true
			}
		}
	}
	if learners > 0 || len(available) == 0 {
		return journal.MembershipChange{}, false
	}
	for _, member := range current.Members {
		for id, s := range available {
			if s.address == member.Address {
				// The process at this member's address has lost its data folder.
				return journal.MembershipChange{Add: &journal.Member{ID: id, Name: s.name, Address: s.address, Replaces: member.ID}}, true
			}
		}
	}
	next := journal.Member{}
	for id, s := range available {
		if next.ID == 0 || id < next.ID {
			next = journal.Member{ID: id, Name: s.name, Address: s.address}
		}
	}
	if len(current.Voters()) < min(maxMembers, 2*c.cfg.FaultTolerance+1) {
		return journal.MembershipChange{Add: &next}, true
	}
	for _, p := range c.machine.Progress() {
		if now.Sub(c.lastContact(now, p)) > replaceAfter {
			next.Replaces = p.Member.ID
			return journal.MembershipChange{Add: &next}, true
		}
	}
	return journal.MembershipChange{}, false
}

// lastContact returns when a member last answered, or when this leader's term began if that is later.
func (c *Coordinator) lastContact(now time.Time, p journal.Progress) time.Time {
	if term := c.machine.Term(); c.members.baselineTerm != term {
		c.members.baselineTerm, c.members.silenceBaseline = term, now
	}
	if p.LastContact.After(c.members.silenceBaseline) {
		return p.LastContact
	}
	return c.members.silenceBaseline
}

// availableStandbys returns the processes that may become members.
func (c *Coordinator) availableStandbys(now time.Time, current journal.Membership) map[journal.MemberID]standby {
	c.members.mu.Lock()
	defer c.members.mu.Unlock()
	found := make(map[journal.MemberID]standby)
	for id, s := range c.members.standbys {
		_, member := current.Find(id)
		if member || now.Sub(s.lastContact) > standbyTimeout {
			delete(c.members.standbys, id)
			continue
		}
		found[id] = s
	}
	return found
}

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

// Times of membership.
const (
	// registerPeriod is the time between two registrations of a process.
	registerPeriod = 400 * time.Millisecond
	registerTime   = 700 * time.Millisecond
	// standbyFor is how long a registration makes a process available as a replacement.
	standbyFor = 1500 * time.Millisecond
	// replaceAfter is the silence after which a member is replaced; a restart takes about a second.
	replaceAfter = 2500 * time.Millisecond
	// removeLearnerAfter is the silence after which a member that never counted is given up.
	removeLearnerAfter = 4 * time.Second
	maxMembers         = 7
)

// standby is a control process that is no member and may become one.
type standby struct {
	name    inventory.InstanceName
	address string
	heard   time.Time
}

// membership is what a leader knows of processes that are no members; the zero time stands for never.
type membership struct {
	mu       sync.Mutex
	standbys map[journal.MemberID]standby
	// since is when the members' silence began to count for this leader.
	since time.Time
	term  journal.Term
	// replaced names the member of this process that is none any more, so that the loop starts over with an empty folder.
	replaced atomic.Uint64
}

// register tells the leader time and again that this process is there, and learns whether it is a member.
func (c *Coordinator) register(ctx context.Context) error {
	ticker := time.NewTicker(registerPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if _, leads := c.leading(); leads {
			c.reconcile(ctx)
			continue
		}
		c.registerOnce(ctx)
	}
}

func (c *Coordinator) registerOnce(ctx context.Context) {
	v := c.view.Load()
	if v.self == 0 {
		return
	}
	own := fleet.Registration{Member: v.self, Name: c.cfg.Instance, Address: c.cfg.Address, Fresh: v.fresh}
	reply, ok := c.askLeader(ctx, own)
	if ok && !reply.Member && !v.fresh {
		c.members.replaced.Store(uint64(v.self))
		select {
		case c.inputs <- func(time.Time) []journal.Effect { return nil }:
		case <-ctx.Done():
		}
	}
}

// askLeader sends a registration to the leader, wherever it is; a process that does not lead may tell its address.
func (c *Coordinator) askLeader(ctx context.Context, own fleet.Registration) (fleet.RegistrationReply, bool) {
	addresses := c.controls()
	for i := 0; i < len(addresses); i++ {
		if addresses[i] == c.cfg.Address {
			continue
		}
		reply, err := c.registerAt(ctx, addresses[i], own)
		if err == nil {
			c.known.Store(&addresses[i])
			c.keepContacts(reply.Controls)
			return reply, true
		}
		var refused *protocol.Refusal
		if errors.As(err, &refused) && refused.Leader != "" && !slices.Contains(addresses, refused.Leader) {
			addresses = append(addresses, refused.Leader)
		}
	}
	return fleet.RegistrationReply{}, false
}

func (c *Coordinator) registerAt(ctx context.Context, address string, own fleet.Registration) (fleet.RegistrationReply, error) {
	ctx, cancel := context.WithTimeout(ctx, registerTime)
	defer cancel()
	var reply fleet.RegistrationReply
	err := c.cfg.Client.Call(ctx, address, fleet.KindRegister, own, &reply)
	return reply, err
}

// controls returns the addresses of the known control processes, the leader first.
func (c *Coordinator) controls() []string {
	v := c.view.Load()
	var all []string
	add := func(address string) {
		if address != "" && !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	add(v.address)
	if known := c.known.Load(); known != nil {
		add(*known)
	}
	for _, member := range v.membership.Members {
		add(member.Address)
	}
	for _, address := range *c.seeds.Load() {
		add(address)
	}
	if contacts := c.contacts.Load(); contacts != nil {
		for _, address := range *contacts {
			add(address)
		}
	}
	c.members.mu.Lock()
	defer c.members.mu.Unlock()
	for _, s := range c.members.standbys {
		add(s.address)
	}
	return all
}

// leaderAddress returns where the leader was last known; a process that is no member knows it from its registration.
func (c *Coordinator) leaderAddress() string {
	v := c.view.Load()
	if v.leader == v.self && v.leader != 0 {
		return ""
	}
	if v.address != "" {
		return v.address
	}
	if known := c.known.Load(); known != nil {
		return *known
	}
	return ""
}

// onRegister takes a registration in; it is answered by the leader only.
func (c *Coordinator) onRegister(_ context.Context, _ inventory.InstanceName, r fleet.Registration) (fleet.RegistrationReply, error) {
	if _, leads := c.leading(); !leads {
		return fleet.RegistrationReply{}, c.notLeader()
	}
	v := c.view.Load()
	_, member := v.membership.Find(r.Member)
	if !member && !v.settled {
		// A process that hears that it is no member empties its folder, so the membership must be final.
		return fleet.RegistrationReply{}, &protocol.Refusal{Code: protocol.CodeUnavailable, Message: "the members are changing"}
	}
	if !member && r.Fresh {
		c.members.mu.Lock()
		c.members.standbys[r.Member] = standby{name: r.Name, address: r.Address, heard: c.cfg.Now()}
		c.members.mu.Unlock()
	}
	return fleet.RegistrationReply{Member: member, Controls: c.controls()}, nil
}

func (c *Coordinator) notLeader() *protocol.Refusal {
	return &protocol.Refusal{Code: protocol.CodeNotLeader, Message: "another control process leads", Leader: c.leaderAddress()}
}

// reconcile brings the members of the journal towards the wanted number, one change at a time.
func (c *Coordinator) reconcile(ctx context.Context) {
	err := c.ask(ctx, func(now time.Time) []journal.Effect {
		change, needed := c.nextChange(now)
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

// nextChange decides on the next change of the members: a lost one is replaced, a missing one is added, a dead learner is removed.
func (c *Coordinator) nextChange(now time.Time) (journal.MembershipChange, bool) {
	current := c.machine.Membership()
	available := c.available(now, current)
	learners := 0
	for _, p := range c.machine.Progress() {
		silence := now.Sub(c.lastHeard(now, p))
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
				// The process at the member's address has lost its folder.
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
		if now.Sub(c.lastHeard(now, p)) > replaceAfter {
			next.Replaces = p.Member.ID
			return journal.MembershipChange{Add: &next}, true
		}
	}
	return journal.MembershipChange{}, false
}

// lastHeard returns when a member last answered, at the earliest when this leader began.
func (c *Coordinator) lastHeard(now time.Time, p journal.Progress) time.Time {
	if term := c.machine.Term(); c.members.term != term {
		c.members.term, c.members.since = term, now
	}
	if p.LastContact.After(c.members.since) {
		return p.LastContact
	}
	return c.members.since
}

// available returns the processes that may become members.
func (c *Coordinator) available(now time.Time, current journal.Membership) map[journal.MemberID]standby {
	c.members.mu.Lock()
	defer c.members.mu.Unlock()
	found := make(map[journal.MemberID]standby)
	for id, s := range c.members.standbys {
		_, member := current.Find(id)
		if member || now.Sub(s.heard) > standbyFor {
			delete(c.members.standbys, id)
			continue
		}
		found[id] = s
	}
	return found
}

package failover

import (
	"time"

	"lentilwind.dev/lentilwind/group"
)

// phase is what a Machine is busy with.
type phase string

const (
	// phaseSettled has a journalled primary, or waits for enough members to choose the first.
	phaseSettled phase = "settled"
	// phaseBeginning waits for a new term without a primary to be journalled.
	phaseBeginning phase = "beginning"
	// phaseDraining lets running transactions end in a planned handover.
	phaseDraining phase = "draining"
	// phaseSealing lets the target of a handover reach the old primary.
	phaseSealing phase = "sealing"
	// phaseFencing waits for a majority to promise the term.
	phaseFencing phase = "fencing"
	// phaseAppointing waits for the chosen primary to be journalled.
	phaseAppointing phase = "appointing"
	// phasePromoting waits for the journalled primary to take its role.
	phasePromoting phase = "promoting"
)

// Machine decides the failover of one group on behalf of the leader of control.
//
// It is driven by events and keeps no clock; a new leader starts a new machine from the journalled configuration.
type Machine struct {
	cfg     Config
	id      group.ID
	rules   rules
	members []*member

	// config is the journalled configuration.
	config group.Configuration
	phase  phase
	// entered is the time at which the phase began.
	entered time.Time
	// try is the earliest time of the next attempt of the phase's own effect.
	try time.Time
	// next is the configuration being journalled.
	next group.Configuration
	// chosen is the answer that won the choice of the current term.
	chosen group.Status

	// majorityAt is the time at which a majority was fenced in the current term.
	majorityAt time.Time
	// promoteRefused is set when the chosen member can't become the primary of its term any more.
	promoteRefused bool

	// previous is the primary that the current term replaces.
	previous group.Server
	// shunned is the previous primary if its records reached no majority; it is chosen only if a majority needs it.
	shunned  group.Server
	handover handover
	backoff  backoff

	// settledAt is the time since which the primary serves; zero while a failover is under way.
	settledAt   time.Time
	refusedAt   time.Time
	firstMember time.Time

	wake time.Time
	out  []Effect
}

// New returns the machine of one group, to be started with Start.
func New(cfg Config, id group.ID, members []Member, journalled group.Configuration) *Machine {
	m := &Machine{cfg: cfg, id: id, rules: defaultRules(), config: journalled, phase: phaseSettled}
	m.config.Group = id
	m.setMembers(members)
	return m
}

// Start resumes from the journalled configuration.
//
// A journalled primary is published at once: the databases themselves refuse its writes until it is promoted.
func (m *Machine) Start(now time.Time) []Effect {
	m.out = nil
	m.resume(now)
	m.advance(now)
	return m.out
}

// Step takes in one event and returns what is to be done.
func (m *Machine) Step(now time.Time, event Event) []Effect {
	m.out = nil
	event.apply(m, now)
	m.advance(now)
	return m.out
}

// NextTick returns the time at which the machine next needs a Tick; it is zero when only an event can change anything.
func (m *Machine) NextTick() time.Time { return m.wake }

// Configuration returns the journalled configuration as the machine knows it.
func (m *Machine) Configuration() group.Configuration { return m.config }

// Settled tells whether the group has a primary and no failover is under way.
func (m *Machine) Settled() bool { return m.phase == phaseSettled && m.config.Primary != "" }

func (m *Machine) emit(effect Effect) { m.out = append(m.out, effect) }

func (m *Machine) note(kind NoteKind, server group.Server, detail string) {
	m.emit(Note{Kind: kind, Server: server, Term: m.config.Term, Detail: detail})
}

// wakeAt asks for a Tick no later than the given time.
func (m *Machine) wakeAt(at time.Time) {
	if m.wake.IsZero() || at.Before(m.wake) {
		m.wake = at
	}
}

func (m *Machine) enter(now time.Time, next phase) {
	m.phase = next
	m.entered = now
	m.try = now
}

// resume enters the phase that belongs to the journalled configuration.
func (m *Machine) resume(now time.Time) {
	m.handover = handover{}
	m.shunned = ""
	m.chosen = group.Status{}
	m.forgetFences(now)
	if m.config.Term == 0 {
		m.enter(now, phaseSettled)
		return
	}
	m.emit(Publish{m.config})
	if m.config.Primary == "" {
		m.enter(now, phaseFencing)
		return
	}
	m.settledAt = now
	m.enter(now, phaseSettled)
}

// advance does what is due in the current phase until nothing more follows at this time.
func (m *Machine) advance(now time.Time) {
	for {
		m.wake = time.Time{}
		before := m.phase
		m.advancePhase(now)
		if m.phase == before {
			return
		}
	}
}

func (m *Machine) advancePhase(now time.Time) {
	switch m.phase {
	case phaseSettled:
		m.settle(now)
	case phaseBeginning, phaseAppointing:
		m.journal(now)
	case phaseDraining:
		m.drain(now)
	case phaseSealing:
		m.seal(now)
	case phaseFencing:
		m.fence(now)
	case phasePromoting:
		m.promote(now)
	}
}

// forgetFences makes every member answer anew before it counts.
func (m *Machine) forgetFences(now time.Time) {
	m.majorityAt = time.Time{}
	for _, mb := range m.members {
		mb.fenced = false
		mb.fenceTry = now
		mb.contradictions = 0
	}
}

// due reports whether the phase's own effect may be sent now and plans the next attempt.
func (m *Machine) due(now time.Time) bool {
	if now.Before(m.try) {
		m.wakeAt(m.try)
		return false
	}
	m.try = now.Add(m.cfg.RetryInterval)
	m.wakeAt(m.try)
	return true
}

func (m *Machine) member(server group.Server) *member {
	for _, mb := range m.members {
		if mb.Server == server {
			return mb
		}
	}
	return nil
}

func (m *Machine) setMembers(members []Member) {
	current := make([]*member, 0, len(members))
	for _, listed := range members {
		mb := m.member(listed.Server)
		if mb == nil {
			mb = &member{}
		}
		mb.Member = listed
		current = append(current, mb)
	}
	m.members = current
}

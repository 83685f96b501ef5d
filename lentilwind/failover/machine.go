package failover

import (
	"time"

	"lentilwind.dev/lentilwind/group"
)

// phase is the current phase of a Machine.
type phase string

const (
	// phaseSettled has a journalled primary, or waits for enough members to select the first one.
	phaseSettled phase = "settled"
	// phaseStartingTerm waits for a new term without a primary to be journalled.
	phaseStartingTerm phase = "beginning"
	// phaseDraining waits for running transactions to end in a planned handover.
	phaseDraining phase = "draining"
	// phaseCatchingUp waits for the target of a handover to receive the rest of the old primary's log.
	phaseCatchingUp phase = "sealing"
	// phaseFencing waits for a majority to promise the term.
	phaseFencing phase = "fencing"
	// phaseRecordingPrimary waits for the selected primary to be journalled.
	phaseRecordingPrimary phase = "appointing"
	// phasePromoting waits for the journalled primary to be promoted.
	phasePromoting phase = "promoting"
)

// Machine is the failover state machine of one group, run by the leader of control.
//
// It is driven by events and reads no clock; a new leader starts a new machine from the journalled configuration.
type Machine struct {
	cfg     Config
	id      group.ID
	rules   rules
	members []*member

	// journalled is the newest journalled configuration that the machine knows.
	journalled group.Configuration
	phase      phase
	// phaseStart is the time at which the current phase was entered.
	phaseStart time.Time
	// nextAttempt is the earliest time at which the effect of the current phase is sent again.
	nextAttempt time.Time
	// proposed is the configuration that is being journalled.
	proposed group.Configuration
	// selected is the fence answer of the member that was selected as primary in the current term.
	selected group.Status

	// majorityAt is the time at which a majority was fenced in the current term.
	majorityAt time.Time
	// promoteRefused is set when the selected member can no longer become the primary of its term.
	promoteRefused bool

	// previousPrimary is the primary that the current term replaces.
	previousPrimary group.Server
	// isolatedPrimary is the previous primary if its records reached no majority; it is only selected if there is no majority
	// without it.
	isolatedPrimary group.Server
	handover        handover
	backoff         backoff

	// primarySince is the time since which the primary has served; zero while a failover is in progress.
	primarySince      time.Time
	refusalReportedAt time.Time
	firstAnnouncement time.Time

	nextTick time.Time
	effects  []Effect
}

// New returns the machine of one group; call Start before Step.
func New(cfg Config, id group.ID, members []Member, journalled group.Configuration) *Machine {
	m := &Machine{cfg: cfg, id: id, rules: defaultRules(), journalled: journalled, phase: phaseSettled}
	m.journalled.Group = id
	m.setMembers(members)
	return m
}

// Start resumes from the journalled configuration.
//
// A journalled primary is published at once: the databases refuse writes until it is promoted.
func (m *Machine) Start(now time.Time) []Effect {
	m.effects = nil
	m.resume(now)
	m.advance(now)
	return m.effects
}

// Step processes one event and returns the resulting effects.
func (m *Machine) Step(now time.Time, event Event) []Effect {
	m.effects = nil
	event.apply(m, now)
	m.advance(now)
	return m.effects
}

// NextTick returns the time at which the machine next needs a Tick; it is zero when only an event can change anything.
func (m *Machine) NextTick() time.Time { return m.nextTick }

// Configuration returns the newest journalled configuration that the machine knows.
func (m *Machine) Configuration() group.Configuration { return m.journalled }

// Settled reports whether the group has a primary and no failover is in progress.
func (m *Machine) Settled() bool { return m.phase == phaseSettled && m.journalled.Primary != "" }

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

func (m *Machine) note(kind NoteKind, server group.Server, detail string) {
	m.emit(Note{Kind: kind, Server: server, Term: m.journalled.Term, Detail: detail})
}

// scheduleTick requests a Tick no later than the given time.
func (m *Machine) scheduleTick(at time.Time) {
	if m.nextTick.IsZero() || at.Before(m.nextTick) {
		m.nextTick = at
	}
}

func (m *Machine) enterPhase(now time.Time, next phase) {
	m.phase = next
	m.phaseStart = now
	m.nextAttempt = now
}

// resume enters the phase that follows from the journalled configuration.
func (m *Machine) resume(now time.Time) {
	m.handover = handover{}
	m.isolatedPrimary = ""
	m.selected = group.Status{}
	m.resetFences(now)
	if m.journalled.Term == 0 {
		m.enterPhase(now, phaseSettled)
		return
	}
	m.emit(Publish{m.journalled})
	if m.journalled.Primary == "" {
		m.enterPhase(now, phaseFencing)
		return
	}
	m.primarySince = now
	m.enterPhase(now, phaseSettled)
}

// advance runs the current phase, and the phases it leads to, until the phase no longer changes.
func (m *Machine) advance(now time.Time) {
	for {
		m.nextTick = time.Time{}
		previous := m.phase
		m.advancePhase(now)
		if m.phase == previous {
			return
		}
	}
}

func (m *Machine) advancePhase(now time.Time) {
	switch m.phase {
	case phaseSettled:
		m.superviseGroup(now)
	case phaseStartingTerm, phaseRecordingPrimary:
		m.proposeConfiguration(now)
	case phaseDraining:
		m.awaitDrain(now)
	case phaseCatchingUp:
		m.awaitCatchUp(now)
	case phaseFencing:
		m.fenceMembers(now)
	case phasePromoting:
		m.sendPromote(now)
	}
}

// resetFences discards the fence answers, so that every member must answer the next fence before it counts.
func (m *Machine) resetFences(now time.Time) {
	m.majorityAt = time.Time{}
	for _, mb := range m.members {
		mb.fenced = false
		mb.nextFence = now
		mb.contradictions = 0
	}
}

// attemptDue reports whether the effect of the current phase may be sent now, and if so schedules the next attempt.
func (m *Machine) attemptDue(now time.Time) bool {
	if now.Before(m.nextAttempt) {
		m.scheduleTick(m.nextAttempt)
		return false
	}
	m.nextAttempt = now.Add(m.cfg.RetryInterval)
	m.scheduleTick(m.nextAttempt)
	return true
}

func (m *Machine) findMember(server group.Server) *member {
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
		mb := m.findMember(listed.Server)
		if mb == nil {
			mb = &member{}
		}
		mb.Member = listed
		current = append(current, mb)
	}
	m.members = current
}

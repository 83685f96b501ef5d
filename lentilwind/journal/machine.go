package journal

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Role is what a member does in the current term.
type Role string

// The roles of a member.
const (
	RoleFollower Role = "follower"
	// RolePreCandidate asks whether others would vote, without a new term.
	RolePreCandidate Role = "preCandidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
)

// DriftPercent bounds by how much the monotonic clocks of two members may differ in rate.
const DriftPercent = 10

// Defaults of a Config.
const (
	DefaultHeartbeatInterval = 150 * time.Millisecond
	DefaultElectionTimeout   = 750 * time.Millisecond
	defaultBatchBytes        = 1 << 20
	defaultChunkBytes        = 256 << 10
	defaultSnapshotEntries   = 1024
	defaultSnapshotBytes     = 8 << 20
	defaultKeepEntries       = 128
)

// Config is what a machine needs; zero values stand for defaults.
type Config struct {
	ID MemberID
	// HeartbeatInterval is the time between a leader's messages to a member.
	HeartbeatInterval time.Duration
	// ElectionTimeout is how long a member that heard from a leader helps no other one.
	ElectionTimeout time.Duration
	// BatchBytes bounds the entries in one message, save for a single large one.
	BatchBytes int
	// ChunkBytes bounds the part of a snapshot in one message.
	ChunkBytes int
	// SnapshotEntries and SnapshotBytes are how much of the journal asks for a snapshot.
	SnapshotEntries int
	SnapshotBytes   int
	// TrailingEntries is how many entries before a snapshot are held for slow members.
	TrailingEntries int
	Random          *rand.Rand
	// RandomTimeout draws the time without a leader after which a member campaigns; it must not be below Election.
	RandomTimeout func(random *rand.Rand, election time.Duration) time.Duration

	fault fault
}

// UniformTimeout draws evenly from one to two election times.
func UniformTimeout(random *rand.Rand, election time.Duration) time.Duration {
	return election + time.Duration(random.Int64N(int64(election)))
}

func (cfg *Config) applyDefaults() {
	setDefault(&cfg.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&cfg.ElectionTimeout, DefaultElectionTimeout)
	setDefault(&cfg.BatchBytes, defaultBatchBytes)
	setDefault(&cfg.ChunkBytes, defaultChunkBytes)
	setDefault(&cfg.SnapshotEntries, defaultSnapshotEntries)
	setDefault(&cfg.SnapshotBytes, defaultSnapshotBytes)
	setDefault(&cfg.TrailingEntries, defaultKeepEntries)
	if cfg.RandomTimeout == nil {
		cfg.RandomTimeout = UniformTimeout
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Machine is the journal of one member; it is used from one goroutine.
type Machine struct {
	cfg    Config
	start  time.Time
	hard   HardState
	log    entryLog
	role   Role
	leader MemberID
	commit Index

	// heard is when a leader was last heard of; a start counts, because earlier promises to a leader are not durable.
	heard time.Time
	// campaignAt is when a member without a leader campaigns.
	campaignAt time.Time
	votes      map[MemberID]bool
	incoming   *incomingSnapshot

	lead     leadership
	snapshot struct{ asked bool }
	out      []Effect
}

// New returns the machine of a member that starts with what its disk holds.
func New(cfg Config, persisted Persisted, now time.Time) *Machine {
	cfg.applyDefaults()
	m := &Machine{
		cfg:    cfg,
		start:  now,
		hard:   persisted.HardState,
		log:    newEntryLog(persisted),
		role:   RoleFollower,
		commit: persisted.Snapshot.Index,
		heard:  now,
	}
	m.postpone(now)
	if m.isOnlyVoter() {
		m.campaignAt = now
	}
	return m
}

// Role returns what the member does now.
func (m *Machine) Role() Role { return m.role }

// Term returns the newest term that the member knows.
func (m *Machine) Term() Term { return m.hard.Term }

// Leader returns the leader of the term, 0 while none is known.
func (m *Machine) Leader() MemberID { return m.leader }

// CommitIndex returns the index of the last entry that is known to be final.
func (m *Machine) CommitIndex() Index { return m.commit }

// LastIndex returns the index of the last entry.
func (m *Machine) LastIndex() Index { return m.log.last() }

// Membership returns the membership in use.
func (m *Machine) Membership() Membership {
	membership, _ := m.log.membership()
	return membership
}

// Deadline returns when Tick must be called next.
func (m *Machine) Deadline() time.Time {
	if m.role == RoleLeader {
		return m.lead.deadline()
	}
	return m.campaignAt
}

// Tick does what is due.
func (m *Machine) Tick(now time.Time) []Effect {
	switch {
	case m.role == RoleLeader:
		m.tickLeader(now)
	case !now.Before(m.campaignAt):
		m.campaign(now)
	}
	return m.take()
}

// Step takes in a message.
func (m *Machine) Step(now time.Time, msg Message) []Effect {
	if msg.To != m.cfg.ID || msg.From == m.cfg.ID || !m.admit(now, msg) {
		return m.take()
	}
	switch msg.Type {
	case MessagePreVote:
		m.onPreVote(msg)
	case MessagePreVoteReply, MessageVoteReply:
		m.onVoteReply(now, msg)
	case MessageVote:
		m.onVote(now, msg)
	case MessageAppend:
		m.onAppend(now, msg)
	case MessageAppendReply:
		m.onAppendReply(now, msg)
	case MessageSnapshot:
		m.onSnapshot(now, msg)
	case MessageSnapshotNext:
		m.onSnapshotNext(now, msg)
	case MessageCampaign:
		m.onCampaign(now, msg)
	}
	return m.take()
}

// admit compares the terms of a message and the member; false drops the message.
func (m *Machine) admit(now time.Time, msg Message) bool {
	asksForVote := msg.Type == MessageVote || msg.Type == MessagePreVote
	if asksForVote && !msg.Transfer && m.hearsLeader(now) {
		return false
	}
	switch {
	case msg.Term < m.hard.Term:
		return m.onOldTerm(msg)
	case msg.Term == m.hard.Term, msg.Type == MessagePreVote, msg.Type == MessageCampaign:
		return true
	case msg.Type == MessagePreVoteReply && !msg.Reject:
		return true
	}
	m.follow(now, msg.Term, 0)
	return true
}

// onOldTerm tells the sender of an old message about the newer term.
func (m *Machine) onOldTerm(msg Message) bool {
	if m.cfg.fault == faultStaleTerm {
		return true
	}
	switch msg.Type {
	case MessageAppend, MessageSnapshot:
		m.send(Message{Type: MessageAppendReply, To: msg.From, Reject: true, Hint: m.log.last()})
	case MessagePreVote:
		m.send(Message{Type: MessagePreVoteReply, To: msg.From, Reject: true})
	case MessageVote:
		m.send(Message{Type: MessageVoteReply, To: msg.From, Reject: true})
	}
	return false
}

// follow makes the member a follower, in a newer term if there is one.
func (m *Machine) follow(now time.Time, term Term, leader MemberID) {
	if term > m.hard.Term {
		m.hard = HardState{Term: term}
		m.out = append(m.out, Save{HardState: m.hard})
	}
	if m.role != RoleFollower {
		m.postpone(now)
	}
	m.role = RoleFollower
	m.lead = leadership{}
	m.setLeader(leader)
}

func (m *Machine) setLeader(leader MemberID) {
	if m.leader == leader {
		return
	}
	m.leader = leader
	m.out = append(m.out, LeaderChange{Term: m.hard.Term, Leader: leader})
}

// postpone draws a new time to campaign.
func (m *Machine) postpone(now time.Time) {
	m.campaignAt = now.Add(m.cfg.RandomTimeout(m.cfg.Random, m.cfg.ElectionTimeout))
}

func (m *Machine) isVoter() bool {
	return slices.Contains(m.Membership().Voters(), m.cfg.ID)
}

func (m *Machine) isOnlyVoter() bool {
	voters := m.Membership().Voters()
	return len(voters) == 1 && voters[0] == m.cfg.ID
}

func (m *Machine) send(msg Message) {
	msg.From = m.cfg.ID
	if msg.Term == 0 {
		msg.Term = m.hard.Term
	}
	m.out = append(m.out, Send{Message: msg})
}

// take returns the effects gathered so far.
func (m *Machine) take() []Effect {
	effects := m.out
	m.out = nil
	if m.cfg.fault == faultSendBeforeSave {
		effects = sendFirst(effects)
	}
	return effects
}

// append adds entries to the log and makes them durable.
func (m *Machine) append(entries ...Entry) {
	m.log.append(entries)
	m.out = append(m.out, Save{HardState: m.hard, Entries: entries})
}

// commitTo hands over entries up to an index.
func (m *Machine) commitTo(index Index) {
	if index <= m.commit {
		return
	}
	m.out = append(m.out, Apply{Entries: m.log.between(m.commit, index)})
	m.commit = index
	m.askForSnapshot()
}

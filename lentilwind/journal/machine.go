package journal

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Role is the role of a member in the current term.
type Role string

// The roles of a member.
const (
	RoleFollower Role = "follower"
	// RolePreCandidate asks the voters whether they would vote for it, without starting a new term.
	RolePreCandidate Role = "preCandidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
)

// DriftPercent is the maximum difference in rate between the monotonic clocks of two members.
const DriftPercent = 10

// Defaults of a Config.
const (
	DefaultHeartbeatInterval = 150 * time.Millisecond
	DefaultElectionTimeout   = 750 * time.Millisecond
	defaultBatchBytes        = 1 << 20
	defaultChunkBytes        = 256 << 10
	defaultSnapshotEntries   = 1024
	defaultSnapshotBytes     = 8 << 20
	defaultTrailingEntries   = 128
)

// Config is the configuration of a Machine; zero values are replaced by defaults, except for ID and Random.
type Config struct {
	ID MemberID
	// HeartbeatInterval is the interval between a leader's heartbeats to a member.
	HeartbeatInterval time.Duration
	// ElectionTimeout is how long a member that has heard from a leader supports no other candidate.
	ElectionTimeout time.Duration
	// BatchBytes limits the size of the entries in one message; a single larger entry is sent alone.
	BatchBytes int
	// ChunkBytes limits the size of a snapshot chunk in one message.
	ChunkBytes int
	// SnapshotEntries and SnapshotBytes are how far the journal may grow after a snapshot before another one is taken.
	SnapshotEntries int
	SnapshotBytes   int
	// TrailingEntries is how many entries before a snapshot are kept for slow followers.
	TrailingEntries int
	Random          *rand.Rand
	// RandomTimeout returns the time without a leader after which a member starts an election; it must not be below
	// ElectionTimeout.
	RandomTimeout func(random *rand.Rand, election time.Duration) time.Duration

	fault fault
}

// UniformTimeout returns a timeout drawn uniformly from one to two election timeouts.
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
	setDefault(&cfg.TrailingEntries, defaultTrailingEntries)
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

// Machine is the Raft state machine of one member. It is not safe for concurrent use.
type Machine struct {
	cfg         Config
	start       time.Time
	hardState   HardState
	log         entryLog
	role        Role
	leader      MemberID
	commitIndex Index

	// lastLeaderContact is when the member last heard from a leader. A start counts as contact, because the member does not
	// store that it promised a leader to support no other candidate.
	lastLeaderContact time.Time
	// electionDeadline is when a member that hears from no leader starts an election.
	electionDeadline time.Time
	votes            map[MemberID]bool
	incoming         *incomingSnapshot

	leaderState leaderState
	snapshot    struct{ requested bool }
	effects     []Effect
}

// New returns the machine of a member that starts from its persisted state.
func New(cfg Config, persisted Persisted, now time.Time) *Machine {
	cfg.applyDefaults()
	m := &Machine{
		cfg:               cfg,
		start:             now,
		hardState:         persisted.HardState,
		log:               newEntryLog(persisted),
		role:              RoleFollower,
		commitIndex:       persisted.Snapshot.Index,
		lastLeaderContact: now,
	}
	m.resetElectionTimer(now)
	if m.isOnlyVoter() {
		m.electionDeadline = now
	}
	return m
}

// Role returns the current role of the member.
func (m *Machine) Role() Role { return m.role }

// Term returns the highest term known to the member.
func (m *Machine) Term() Term { return m.hardState.Term }

// Leader returns the leader of the current term, 0 while none is known.
func (m *Machine) Leader() MemberID { return m.leader }

// CommitIndex returns the index of the last entry known to be committed.
func (m *Machine) CommitIndex() Index { return m.commitIndex }

// LastIndex returns the index of the last entry of the log.
func (m *Machine) LastIndex() Index { return m.log.lastIndex() }

// Membership returns the membership in effect, which need not be committed yet.
func (m *Machine) Membership() Membership {
	membership, _ := m.log.membership()
	return membership
}

// Deadline returns when Tick must be called next.
func (m *Machine) Deadline() time.Time {
	if m.role == RoleLeader {
		return m.leaderState.deadline()
	}
	return m.electionDeadline
}

// Tick runs the timers that have expired.
func (m *Machine) Tick(now time.Time) []Effect {
	switch {
	case m.role == RoleLeader:
		m.tickLeader(now)
	case !now.Before(m.electionDeadline):
		m.startPreVote(now)
	}
	return m.takeEffects()
}

// Step processes a message from another member.
func (m *Machine) Step(now time.Time, msg Message) []Effect {
	if msg.To != m.cfg.ID || msg.From == m.cfg.ID || !m.checkTerm(now, msg) {
		return m.takeEffects()
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
	return m.takeEffects()
}

// checkTerm compares the term of a message with that of the member and reports whether to process the message.
func (m *Machine) checkTerm(now time.Time, msg Message) bool {
	isVoteRequest := msg.Type == MessageVote || msg.Type == MessagePreVote
	if isVoteRequest && !msg.Transfer && m.hasActiveLeader(now) {
		return false
	}
	switch {
	case msg.Term < m.hardState.Term:
		return m.onStaleTerm(msg)
	case msg.Term == m.hardState.Term, msg.Type == MessagePreVote, msg.Type == MessageCampaign:
		return true
	case msg.Type == MessagePreVoteReply && !msg.Reject:
		return true
	}
	m.becomeFollower(now, msg.Term, 0)
	return true
}

// onStaleTerm rejects a request of an earlier term, so that its sender learns about the newer one.
func (m *Machine) onStaleTerm(msg Message) bool {
	if m.cfg.fault == faultStaleTerm {
		return true
	}
	switch msg.Type {
	case MessageAppend, MessageSnapshot:
		m.send(Message{Type: MessageAppendReply, To: msg.From, Reject: true, Hint: m.log.lastIndex()})
	case MessagePreVote:
		m.send(Message{Type: MessagePreVoteReply, To: msg.From, Reject: true})
	case MessageVote:
		m.send(Message{Type: MessageVoteReply, To: msg.From, Reject: true})
	}
	return false
}

// becomeFollower makes the member a follower, in a newer term if the given one is higher.
func (m *Machine) becomeFollower(now time.Time, term Term, leader MemberID) {
	if term > m.hardState.Term {
		m.hardState = HardState{Term: term}
		m.effects = append(m.effects, Save{HardState: m.hardState})
	}
	if m.role != RoleFollower {
		m.resetElectionTimer(now)
	}
	m.role = RoleFollower
	m.leaderState = leaderState{}
	m.setLeader(leader)
}

func (m *Machine) setLeader(leader MemberID) {
	if m.leader == leader {
		return
	}
	m.leader = leader
	m.effects = append(m.effects, LeaderChange{Term: m.hardState.Term, Leader: leader})
}

// resetElectionTimer draws a new election deadline.
func (m *Machine) resetElectionTimer(now time.Time) {
	m.electionDeadline = now.Add(m.cfg.RandomTimeout(m.cfg.Random, m.cfg.ElectionTimeout))
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
		msg.Term = m.hardState.Term
	}
	m.effects = append(m.effects, Send{Message: msg})
}

// takeEffects returns the pending effects and clears them.
func (m *Machine) takeEffects() []Effect {
	effects := m.effects
	m.effects = nil
	if m.cfg.fault == faultSendBeforeSave {
		effects = moveSendsFirst(effects)
	}
	return effects
}

// append adds entries to the log and saves them.
func (m *Machine) append(entries ...Entry) {
	m.log.append(entries)
	m.effects = append(m.effects, Save{HardState: m.hardState, Entries: entries})
}

// commitUpTo commits the entries up to and including an index.
func (m *Machine) commitUpTo(index Index) {
	if index <= m.commitIndex {
		return
	}
	m.effects = append(m.effects, Apply{Entries: m.log.entriesBetween(m.commitIndex, index)})
	m.commitIndex = index
	m.requestSnapshotIfDue()
}

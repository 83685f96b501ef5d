package journal_test

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"lentilwind.dev/lentilwind/journal"
)

const (
	heartbeat   = 100 * time.Millisecond
	election    = 250 * time.Millisecond
	maxMessages = 100
)

// entryID identifies an entry by its index and term.
type entryID struct {
	index journal.Index
	term  journal.Term
}

// link is the connection from one member to another, in one direction.
type link struct {
	from, to journal.MemberID
}

// node is a simulated member: its disk, its drifting clock and the effects that it has not executed yet.
type node struct {
	id        journal.MemberID
	machine   *journal.Machine
	disk      journal.Persisted
	pending   []journal.Effect
	clockRate float64
	applied   journal.Index
	stateHash uint64
	startedAt time.Time
}

// simulation runs members under a random schedule of faults, holds the messages in transit and checks the safety properties
// after every step.
type simulation struct {
	random        *rand.Rand
	probabilities probabilities
	fault         string
	reuseMemberID bool
	wipedMember   journal.MemberID
	elapsed       time.Duration
	nodes         []*node
	nextID        journal.MemberID
	messages      []journal.Message
	blockedLinks  map[link]bool
	committed     map[journal.Index]journal.Entry
	lastCommitted journal.Index
	stateHashes   map[journal.Index]uint64
	entryTexts    map[entryID]string
	leaderByTerm  map[journal.Term]journal.MemberID
	eventCounts   map[string]int
	failure       string
}

func newSimulation(seed uint64, fault string, voters int) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), fault: fault, blockedLinks: map[link]bool{},
		committed: map[journal.Index]journal.Entry{}, stateHashes: map[journal.Index]uint64{0: 0},
		entryTexts: map[entryID]string{}, leaderByTerm: map[journal.Term]journal.MemberID{}, eventCounts: map[string]int{},
	}
	s.probabilities = randomProbabilities(s.random)
	var initial journal.Membership
	for range voters {
		initial.Members = append(initial.Members, journal.Member{ID: s.addNode().id})
	}
	for _, n := range s.nodes {
		n.disk.Snapshot = journal.Snapshot{Membership: initial}
		s.start(n)
	}
	for range 2 {
		s.start(s.addNode())
	}
	return s
}

func (s *simulation) addNode() *node {
	s.nextID++
	n := &node{id: s.nextID, clockRate: 0.955 + 0.09*s.random.Float64()}
	s.nodes = append(s.nodes, n)
	return n
}

func (s *simulation) now(n *node) time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(s.elapsed) * n.clockRate))
}

func (s *simulation) start(n *node) {
	cfg := journal.Config{
		ID: n.id, HeartbeatInterval: heartbeat, ElectionTimeout: election, SnapshotEntries: 6, TrailingEntries: 2, ChunkBytes: 3, BatchBytes: s.probabilities.batchBytes,
		Random: s.random,
	}
	n.startedAt = s.now(n)
	n.machine = journal.New(journal.WithFault(cfg, s.fault), n.disk, n.startedAt)
	n.applied, n.stateHash, n.pending = n.disk.Snapshot.Index, decodeStateHash(n.disk.Snapshot.Data), nil
}

func decodeStateHash(data []byte) uint64 {
	return binary.BigEndian.Uint64(append(make([]byte, 8-len(data)), data...))
}

func (s *simulation) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf(format, args...)
	}
}

// handleEffects queues the effects of a machine and checks the invariants that they may violate.
func (s *simulation) handleEffects(n *node, effects []journal.Effect) {
	n.pending = append(n.pending, effects...)
	if n.machine.Role() == journal.RoleLeader {
		if other, found := s.leaderByTerm[n.machine.Term()]; found && other != n.id {
			s.fail("members %d and %d are both leaders of term %d", other, n.id, n.machine.Term())
		}
		s.leaderByTerm[n.machine.Term()] = n.id
		s.checkLeader(n)
	}
	for _, effect := range effects {
		switch effect := effect.(type) {
		case journal.Save:
			s.checkLogMatching(n, effect.Entries)
		case journal.Apply:
			s.checkCommittedTerm(n, effect.Entries)
		}
	}
	s.checkLease()
}

// execute executes the oldest pending effect of a node.
func (s *simulation) execute(n *node) {
	effect := n.pending[0]
	n.pending = n.pending[1:]
	switch effect := effect.(type) {
	case journal.Save:
		n.disk.HardState = effect.HardState
		n.save(effect.Entries)
	case journal.SaveSnapshot:
		n.disk.Snapshot, n.disk.Entries = effect.Snapshot, slices.Clone(effect.Entries)
	case journal.Send:
		if len(s.messages) == maxMessages {
			i := s.random.IntN(maxMessages)
			s.messages = slices.Delete(s.messages, i, i+1)
		}
		s.messages = append(s.messages, effect.Message)
	case journal.Apply:
		s.apply(n, effect.Entries)
	case journal.Restore:
		s.eventCounts["restores"]++
		n.applied, n.stateHash = effect.Snapshot.Index, decodeStateHash(effect.Snapshot.Data)
		s.checkState(n)
	case journal.TakeSnapshot:
		s.handleEffects(n, n.machine.Compact(n.applied, binary.BigEndian.AppendUint64(nil, n.stateHash)))
	case journal.LeaderChange:
		s.eventCounts["leaders"]++
	}
}

func (n *node) save(entries []journal.Entry) {
	if len(entries) > 0 {
		kept := int(entries[0].Index - n.disk.Snapshot.Index - 1)
		n.disk.Entries = append(slices.Clone(n.disk.Entries[:kept]), entries...)
	}
}

func (s *simulation) apply(n *node, entries []journal.Entry) {
	for _, e := range entries {
		if known, found := s.committed[e.Index]; found && (known.Term != e.Term || string(known.Data) != string(e.Data)) {
			s.fail("member %d committed entry %d of term %d, which had been committed with term %d or other data", n.id, e.Index, e.Term, known.Term)
		}
		if e.Index != n.applied+1 {
			s.fail("member %d applied entry %d after entry %d", n.id, e.Index, n.applied)
		}
		s.committed[e.Index] = e
		s.lastCommitted = max(s.lastCommitted, e.Index)
		s.eventCounts[string(e.Kind)]++
		sum := fnv.New64a()
		_, _ = fmt.Fprint(sum, n.stateHash, e)
		n.applied, n.stateHash = e.Index, sum.Sum64()
		s.checkState(n)
	}
}

// crash discards the pending effects of a node, except for some saves that may have reached the disk, the last one in part.
func (s *simulation) crash(n *node) {
	for _, effect := range n.pending {
		save, isSave := effect.(journal.Save)
		if !isSave || s.random.IntN(2) == 0 {
			break
		}
		n.disk.HardState = save.HardState
		total := len(save.Entries)
		written := s.random.IntN(total + 1)
		n.save(save.Entries[:written])
		if written < total {
			break
		}
	}
	n.machine, n.pending = nil, nil
	s.eventCounts["crashes"]++
}

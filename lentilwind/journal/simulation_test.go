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
	heartbeat = 100 * time.Millisecond
	election  = 250 * time.Millisecond
	maxBag    = 100
)

// place is an entry's index and term.
type place struct {
	index journal.Index
	term  journal.Term
}

// path is the way from one member to another.
type path struct {
	from, to journal.MemberID
}

// node is one member with its disk, its drifting clock and the effects that it has not carried out yet.
type node struct {
	id      journal.MemberID
	machine *journal.Machine
	disk    journal.Persisted
	queue   []journal.Effect
	rate    float64
	applied journal.Index
	state   uint64
	started time.Time
}

// bag holds the messages on their way and checks the promises of the journal after every step.
type bag struct {
	random    *rand.Rand
	odds      odds
	fault     string
	reuseID   bool
	wiped     journal.MemberID
	elapsed   time.Duration
	nodes     []*node
	nextID    journal.MemberID
	messages  []journal.Message
	cut       map[path]bool
	committed map[journal.Index]journal.Entry
	last      journal.Index
	states    map[journal.Index]uint64
	entries   map[place]string
	leaders   map[journal.Term]journal.MemberID
	counts    map[string]int
	failure   string
}

func newBag(seed uint64, fault string, voters int) *bag {
	b := &bag{
		random: rand.New(rand.NewPCG(seed, 1)), fault: fault, cut: map[path]bool{},
		committed: map[journal.Index]journal.Entry{}, states: map[journal.Index]uint64{0: 0},
		entries: map[place]string{}, leaders: map[journal.Term]journal.MemberID{}, counts: map[string]int{},
	}
	b.odds = drawOdds(b.random)
	var first journal.Membership
	for range voters {
		first.Members = append(first.Members, journal.Member{ID: b.addNode().id})
	}
	for _, n := range b.nodes {
		n.disk.Snapshot = journal.Snapshot{Membership: first}
		b.start(n)
	}
	for range 2 {
		b.start(b.addNode())
	}
	return b
}

func (b *bag) addNode() *node {
	b.nextID++
	n := &node{id: b.nextID, rate: 0.955 + 0.09*b.random.Float64()}
	b.nodes = append(b.nodes, n)
	return n
}

func (b *bag) now(n *node) time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(b.elapsed) * n.rate))
}

func (b *bag) start(n *node) {
	cfg := journal.Config{
		ID: n.id, HeartbeatInterval: heartbeat, ElectionTimeout: election, SnapshotEntries: 6, TrailingEntries: 2, ChunkBytes: 3, BatchBytes: b.odds.batchBytes,
		Random: b.random,
	}
	n.started = b.now(n)
	n.machine = journal.New(journal.WithFault(cfg, b.fault), n.disk, n.started)
	n.applied, n.state, n.queue = n.disk.Snapshot.Index, decodeState(n.disk.Snapshot.Data), nil
}

func decodeState(data []byte) uint64 {
	return binary.BigEndian.Uint64(append(make([]byte, 8-len(data)), data...))
}

func (b *bag) fail(format string, args ...any) {
	if b.failure == "" {
		b.failure = fmt.Sprintf(format, args...)
	}
}

// take queues a machine's effects and checks what they reveal.
func (b *bag) take(n *node, effects []journal.Effect) {
	n.queue = append(n.queue, effects...)
	if n.machine.Role() == journal.RoleLeader {
		if other, found := b.leaders[n.machine.Term()]; found && other != n.id {
			b.fail("%d and %d both lead term %d", other, n.id, n.machine.Term())
		}
		b.leaders[n.machine.Term()] = n.id
		b.checkLeader(n)
	}
	for _, effect := range effects {
		switch effect := effect.(type) {
		case journal.Save:
			b.checkMatching(n, effect.Entries)
		case journal.Apply:
			b.checkCommit(n, effect.Entries)
		}
	}
	b.checkLease()
}

// carryOut does the oldest effect of a node.
func (b *bag) carryOut(n *node) {
	effect := n.queue[0]
	n.queue = n.queue[1:]
	switch effect := effect.(type) {
	case journal.Save:
		n.disk.HardState = effect.HardState
		n.save(effect.Entries)
	case journal.SaveSnapshot:
		n.disk.Snapshot, n.disk.Entries = effect.Snapshot, slices.Clone(effect.Entries)
	case journal.Send:
		if len(b.messages) == maxBag {
			i := b.random.IntN(maxBag)
			b.messages = slices.Delete(b.messages, i, i+1)
		}
		b.messages = append(b.messages, effect.Message)
	case journal.Apply:
		b.apply(n, effect.Entries)
	case journal.Restore:
		b.counts["restores"]++
		n.applied, n.state = effect.Snapshot.Index, decodeState(effect.Snapshot.Data)
		b.checkState(n)
	case journal.TakeSnapshot:
		b.take(n, n.machine.Compact(n.applied, binary.BigEndian.AppendUint64(nil, n.state)))
	case journal.LeaderChange:
		b.counts["leaders"]++
	}
}

func (n *node) save(entries []journal.Entry) {
	if len(entries) > 0 {
		keep := int(entries[0].Index - n.disk.Snapshot.Index - 1)
		n.disk.Entries = append(slices.Clone(n.disk.Entries[:keep]), entries...)
	}
}

func (b *bag) apply(n *node, entries []journal.Entry) {
	for _, e := range entries {
		if known, found := b.committed[e.Index]; found && (known.Term != e.Term || string(known.Data) != string(e.Data)) {
			b.fail("%d committed entry %d of term %d, which was committed in term %d", n.id, e.Index, e.Term, known.Term)
		}
		if e.Index != n.applied+1 {
			b.fail("%d applied entry %d after %d", n.id, e.Index, n.applied)
		}
		b.committed[e.Index] = e
		b.last = max(b.last, e.Index)
		b.counts[string(e.Kind)]++
		sum := fnv.New64a()
		_, _ = fmt.Fprint(sum, n.state, e)
		n.applied, n.state = e.Index, sum.Sum64()
		b.checkState(n)
	}
}

// crash loses what a node has not carried out, but perhaps for some saves that were on their way to the disk.
func (b *bag) crash(n *node) {
	for _, effect := range n.queue {
		save, isSave := effect.(journal.Save)
		if !isSave || b.random.IntN(2) == 0 {
			break
		}
		n.disk.HardState = save.HardState
		whole := len(save.Entries)
		written := b.random.IntN(whole + 1)
		n.save(save.Entries[:written])
		if written < whole {
			break
		}
	}
	n.machine, n.queue = nil, nil
	b.counts["crashes"]++
}

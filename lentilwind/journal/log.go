package journal

import (
	"fmt"
	"slices"
)

// placedMembership is a membership with the index from which it holds.
type placedMembership struct {
	index      Index
	membership Membership
}

// entryLog is the part of the journal that is held in memory: a snapshot and the entries around and behind it.
type entryLog struct {
	snapshot Snapshot
	// baseIndex and baseTerm name the entry before the first one held.
	baseIndex Index
	baseTerm  Term
	entries   []Entry
	// memberships holds at least one element; the last one is in use.
	memberships []placedMembership
}

func newEntryLog(persisted Persisted) entryLog {
	l := entryLog{
		snapshot:    persisted.Snapshot,
		baseIndex:   persisted.Snapshot.Index,
		baseTerm:    persisted.Snapshot.Term,
		memberships: []placedMembership{{index: persisted.Snapshot.Index, membership: persisted.Snapshot.Membership}},
	}
	l.append(persisted.Entries)
	return l
}

func (l *entryLog) last() Index { return l.baseIndex + Index(len(l.entries)) }

func (l *entryLog) lastTerm() Term {
	if n := len(l.entries); n > 0 {
		return l.entries[n-1].Term
	}
	return l.baseTerm
}

// term returns the term of an entry; false means that the entry is not held.
func (l *entryLog) term(index Index) (Term, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.last():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// append adds entries that follow the log or replace its end.
func (l *entryLog) append(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0].Index
	if first <= l.baseIndex || first > l.last()+1 {
		panic(fmt.Sprintf("journal: entry %d does not fit a log of %d to %d", first, l.baseIndex+1, l.last()))
	}
	l.entries = append(l.entries[:first-l.baseIndex-1], entries...)
	l.memberships = slices.DeleteFunc(l.memberships, func(p placedMembership) bool { return p.index >= first })
	for _, entry := range entries {
		l.noteMembership(entry)
	}
}

func (l *entryLog) noteMembership(entry Entry) {
	if entry.Kind != EntryMembership {
		return
	}
	membership, err := entry.Membership()
	if err != nil {
		panic(err.Error())
	}
	l.memberships = append(l.memberships, placedMembership{index: entry.Index, membership: membership})
}

// slice returns entries from an index on, at least one and otherwise not more than a number of bytes.
func (l *entryLog) slice(from Index, maxBytes int) []Entry {
	if from > l.last() {
		return nil
	}
	entries := l.entries[from-l.baseIndex-1:]
	bytes := 0
	for i, entry := range entries {
		bytes += len(entry.Data)
		if i > 0 && bytes > maxBytes {
			entries = entries[:i]
			break
		}
	}
	return slices.Clone(entries)
}

// between returns the entries after one index up to another.
func (l *entryLog) between(after, upTo Index) []Entry {
	return slices.Clone(l.entries[after-l.baseIndex : upTo-l.baseIndex])
}

// membership returns the membership in use and the index from which it holds.
func (l *entryLog) membership() (Membership, Index) {
	current := l.memberships[len(l.memberships)-1]
	return current.membership, current.index
}

// membershipAt returns the membership that held at an index.
func (l *entryLog) membershipAt(index Index) Membership {
	var found Membership
	for _, p := range l.memberships {
		if p.index <= index {
			found = p.membership
		}
	}
	return found
}

// compact takes a snapshot in and drops entries before it, but for a number that slow members may still need.
func (l *entryLog) compact(snapshot Snapshot, keep Index) {
	l.snapshot = snapshot
	base := max(l.baseIndex, snapshot.Index-min(keep, snapshot.Index))
	l.baseTerm, _ = l.term(base)
	l.entries = slices.Clone(l.entries[base-l.baseIndex:])
	l.baseIndex = base
	first := 0
	for i, p := range l.memberships {
		if p.index <= base {
			first = i
		}
	}
	l.memberships = slices.Clone(l.memberships[first:])
}

// reset drops every entry in favour of a snapshot.
func (l *entryLog) reset(snapshot Snapshot) {
	*l = newEntryLog(Persisted{Snapshot: snapshot})
}

// bytesAfter returns the size of the entries behind an index.
func (l *entryLog) bytesAfter(index Index) int {
	bytes := 0
	for _, entry := range l.entries[index-l.baseIndex:] {
		bytes += len(entry.Data)
	}
	return bytes
}

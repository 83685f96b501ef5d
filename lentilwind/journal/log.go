package journal

import (
	"fmt"
	"slices"
)

// indexedMembership is a membership and the index at which it takes effect.
type indexedMembership struct {
	index      Index
	membership Membership
}

// entryLog is the part of the log that is held in memory: a snapshot and the entries around and after it.
type entryLog struct {
	snapshot Snapshot
	// baseIndex and baseTerm identify the entry before the first one held.
	baseIndex Index
	baseTerm  Term
	entries   []Entry
	// memberships is never empty; its last element is in effect.
	memberships []indexedMembership
}

func newEntryLog(persisted Persisted) entryLog {
	l := entryLog{
		snapshot:    persisted.Snapshot,
		baseIndex:   persisted.Snapshot.Index,
		baseTerm:    persisted.Snapshot.Term,
		memberships: []indexedMembership{{index: persisted.Snapshot.Index, membership: persisted.Snapshot.Membership}},
	}
	l.append(persisted.Entries)
	return l
}

func (l *entryLog) lastIndex() Index { return l.baseIndex + Index(len(l.entries)) }

func (l *entryLog) lastTerm() Term {
	if n := len(l.entries); n > 0 {
		return l.entries[n-1].Term
	}
	return l.baseTerm
}

// term returns the term of an entry, and false if the entry is not held.
func (l *entryLog) term(index Index) (Term, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// append adds entries; they continue the log or replace its end.
func (l *entryLog) append(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0].Index
	if first <= l.baseIndex || first > l.lastIndex()+1 {
		panic(fmt.Sprintf("journal: entry %d does not continue a log with entries %d to %d", first, l.baseIndex+1, l.lastIndex()))
	}
	l.entries = append(l.entries[:first-l.baseIndex-1], entries...)
	l.memberships = slices.DeleteFunc(l.memberships, func(p indexedMembership) bool { return p.index >= first })
	for _, entry := range entries {
		l.recordMembership(entry)
	}
}

func (l *entryLog) recordMembership(entry Entry) {
	if entry.Kind != EntryMembership {
		return
	}
	membership, err := entry.Membership()
	if err != nil {
		panic(err.Error())
	}
	l.memberships = append(l.memberships, indexedMembership{index: entry.Index, membership: membership})
}

// entriesFrom returns entries starting at an index: at least one, and otherwise no more than maxBytes.
func (l *entryLog) entriesFrom(from Index, maxBytes int) []Entry {
	if from > l.lastIndex() {
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

// entriesBetween returns the entries after one index, up to and including another.
func (l *entryLog) entriesBetween(after, upTo Index) []Entry {
	return slices.Clone(l.entries[after-l.baseIndex : upTo-l.baseIndex])
}

// membership returns the membership in effect and the index at which it took effect.
func (l *entryLog) membership() (Membership, Index) {
	current := l.memberships[len(l.memberships)-1]
	return current.membership, current.index
}

// membershipAt returns the membership that was in effect at an index.
func (l *entryLog) membershipAt(index Index) Membership {
	var found Membership
	for _, p := range l.memberships {
		if p.index <= index {
			found = p.membership
		}
	}
	return found
}

// compact stores a snapshot and drops the entries before it, except for the number to keep for slow followers.
func (l *entryLog) compact(snapshot Snapshot, keep Index) {
	l.snapshot = snapshot
	baseIndex := max(l.baseIndex, snapshot.Index-min(keep, snapshot.Index))
	l.baseTerm, _ = l.term(baseIndex)
	l.entries = slices.Clone(l.entries[baseIndex-l.baseIndex:])
	l.baseIndex = baseIndex
	first := 0
	for i, p := range l.memberships {
		if p.index <= baseIndex {
			first = i
		}
	}
	l.memberships = slices.Clone(l.memberships[first:])
}

// resetTo replaces the whole log by a snapshot.
func (l *entryLog) resetTo(snapshot Snapshot) {
	*l = newEntryLog(Persisted{Snapshot: snapshot})
}

// sizeAfter returns the size in bytes of the entries after an index.
func (l *entryLog) sizeAfter(index Index) int {
	bytes := 0
	for _, entry := range l.entries[index-l.baseIndex:] {
		bytes += len(entry.Data)
	}
	return bytes
}

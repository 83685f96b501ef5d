package journal_test

import (
	"fmt"

	"lentilwind.dev/lentilwind/journal"
)

// checkLeader fails if the newest leader lacks a committed entry, or counts an entry as replicated to a member that does not
// hold it.
func (s *simulation) checkLeader(n *node) {
	newest := true
	for _, other := range s.nodes {
		newest = newest && (other.machine == nil || other.machine.Term() <= n.machine.Term())
	}
	if term, held := n.machine.TermAt(s.lastCommitted); newest && (!held || term != s.committed[s.lastCommitted].Term) && s.lastCommitted > n.machine.Snapshot().Index {
		s.fail("member %d leads term %d without the committed entry %d", n.id, n.machine.Term(), s.lastCommitted)
	}
	for _, progress := range n.machine.Progress() {
		other := s.find(progress.Member.ID)
		if other == nil || other.machine == nil || other.machine.Term() != n.machine.Term() || progress.MatchIndex <= other.machine.Snapshot().Index {
			continue
		}
		want, known := n.machine.TermAt(progress.MatchIndex)
		if term, held := other.machine.TermAt(progress.MatchIndex); known && (!held || term != want) {
			s.fail("leader %d counts entry %d as replicated to member %d, which does not hold it", n.id, progress.MatchIndex, other.id)
		}
	}
}

// checkLogMatching fails if two entries with the same index and term differ in their content or in the term of the entry
// before them.
func (s *simulation) checkLogMatching(n *node, entries []journal.Entry) {
	for _, e := range entries {
		before, _ := n.machine.TermAt(e.Index - 1)
		text := fmt.Sprint(before, e.Kind, string(e.Data))
		if seen, found := s.entryTexts[entryID{e.Index, e.Term}]; found && before != 0 && seen != text {
			s.fail("entry %d of term %d differs between logs", e.Index, e.Term)
		}
		if before != 0 || e.Index == 1 {
			s.entryTexts[entryID{e.Index, e.Term}] = text
		}
	}
}

// checkLease fails if two members hold a lease at once, or if the holder of a lease lacks a committed entry.
func (s *simulation) checkLease() {
	holder := journal.MemberID(0)
	for _, n := range s.nodes {
		if n.machine == nil {
			continue
		}
		if _, held := n.machine.Lease(s.now(n)); !held {
			continue
		}
		s.eventCounts["leases"]++
		if holder != 0 || n.machine.CommitIndex() < s.lastCommitted {
			s.fail("member %d holds a lease; other holder: %d (0 for none); committed %d of %d entries", n.id, holder, n.machine.CommitIndex(), s.lastCommitted)
		}
		holder = n.id
	}
}

func (s *simulation) checkState(n *node) {
	if state, found := s.stateHashes[n.applied]; found && state != n.stateHash {
		s.fail("member %d has a different state at index %d", n.id, n.applied)
	}
	s.stateHashes[n.applied] = n.stateHash
}

// checkCommittedTerm fails if a leader commits an entry of an earlier term by counting the members that hold it.
func (s *simulation) checkCommittedTerm(n *node, entries []journal.Entry) {
	last := entries[len(entries)-1]
	if n.machine.Role() == journal.RoleLeader && last.Term != n.machine.Term() {
		s.fail("leader %d commits entry %d of term %d in term %d", n.id, last.Index, last.Term, n.machine.Term())
	}
}

// checkVoteAfterStart fails if a member votes within one election timeout after its start, since it may have promised a
// leader before the restart to support no other candidate.
func (s *simulation) checkVoteAfterStart(n *node, msg journal.Message, effects []journal.Effect) {
	if msg.Transfer || s.now(n).Sub(n.startedAt) >= election {
		return
	}
	for _, effect := range effects {
		send, isSend := effect.(journal.Send)
		granted := isSend && !send.Message.Reject
		if granted && (send.Message.Type == journal.MessageVoteReply || send.Message.Type == journal.MessagePreVoteReply) {
			s.fail("member %d votes for member %d within one election timeout after its start", n.id, msg.From)
		}
	}
}

// checkStaleTerm fails if a member accepts entries from a leader of an earlier term.
func (s *simulation) checkStaleTerm(n *node, newest journal.Term, msg journal.Message, effects []journal.Effect) {
	for _, effect := range effects {
		if save, isSave := effect.(journal.Save); isSave && len(save.Entries) > 0 && msg.Type == journal.MessageAppend && msg.Term < newest {
			s.fail("member %d accepts entries from the leader of term %d in term %d", n.id, msg.Term, newest)
		}
	}
}

package journal_test

import (
	"fmt"

	"lentilwind.dev/lentilwind/journal"
)

// checkLeader finds a leader that lacks what is final, or that counts on entries which a member does not hold.
func (b *bag) checkLeader(n *node) {
	newest := true
	for _, other := range b.nodes {
		newest = newest && (other.machine == nil || other.machine.Term() <= n.machine.Term())
	}
	if term, held := n.machine.TermAt(b.last); newest && (!held || term != b.committed[b.last].Term) && b.last > n.machine.Snapshot().Index {
		b.fail("%d leads term %d without entry %d", n.id, n.machine.Term(), b.last)
	}
	for _, progress := range n.machine.Progress() {
		other := b.find(progress.Member.ID)
		if other == nil || other.machine == nil || other.machine.Term() != n.machine.Term() || progress.MatchIndex <= other.machine.Snapshot().Index {
			continue
		}
		want, known := n.machine.TermAt(progress.MatchIndex)
		if term, held := other.machine.TermAt(progress.MatchIndex); known && (!held || term != want) {
			b.fail("%d counts on entry %d, which %d does not hold", n.id, progress.MatchIndex, other.id)
		}
	}
}

// checkMatching finds two entries with one index and term that differ in themselves or in what stands before them.
func (b *bag) checkMatching(n *node, entries []journal.Entry) {
	for _, e := range entries {
		before, _ := n.machine.TermAt(e.Index - 1)
		text := fmt.Sprint(before, e.Kind, string(e.Data))
		if seen, found := b.entries[place{e.Index, e.Term}]; found && before != 0 && seen != text {
			b.fail("entry %d of term %d differs between logs", e.Index, e.Term)
		}
		if before != 0 || e.Index == 1 {
			b.entries[place{e.Index, e.Term}] = text
		}
	}
}

// checkLease finds two leases at once and a lease whose holder lacks what has been acknowledged.
func (b *bag) checkLease() {
	holder := journal.MemberID(0)
	for _, n := range b.nodes {
		if n.machine == nil {
			continue
		}
		if _, held := n.machine.Lease(b.now(n)); !held {
			continue
		}
		b.counts["leases"]++
		if holder != 0 || n.machine.CommitIndex() < b.last {
			b.fail("%d holds a lease beside %d with %d of %d entries", n.id, holder, n.machine.CommitIndex(), b.last)
		}
		holder = n.id
	}
}

func (b *bag) checkState(n *node) {
	if state, found := b.states[n.applied]; found && state != n.state {
		b.fail("%d has another state at %d", n.id, n.applied)
	}
	b.states[n.applied] = n.state
}

// checkCommit finds a leader that commits an entry of an earlier term by counting it.
func (b *bag) checkCommit(n *node, entries []journal.Entry) {
	last := entries[len(entries)-1]
	if n.machine.Role() == journal.RoleLeader && last.Term != n.machine.Term() {
		b.fail("%d counts entry %d of term %d in term %d", n.id, last.Index, last.Term, n.machine.Term())
	}
}

// checkLoyalty finds a vote of a member that may have promised a leader, before a restart, to support no other.
func (b *bag) checkLoyalty(n *node, msg journal.Message, effects []journal.Effect) {
	if msg.Transfer || b.now(n).Sub(n.started) >= election {
		return
	}
	for _, effect := range effects {
		send, isSend := effect.(journal.Send)
		granted := isSend && !send.Message.Reject
		if granted && (send.Message.Type == journal.MessageVoteReply || send.Message.Type == journal.MessagePreVoteReply) {
			b.fail("%d votes for %d at once after its start", n.id, msg.From)
		}
	}
}

// checkTerm finds a member that takes entries of a leader which it knows to be replaced.
func (b *bag) checkTerm(n *node, newest journal.Term, msg journal.Message, effects []journal.Effect) {
	for _, effect := range effects {
		if save, isSave := effect.(journal.Save); isSave && len(save.Entries) > 0 && msg.Type == journal.MessageAppend && msg.Term < newest {
			b.fail("%d takes entries of term %d in term %d", n.id, msg.Term, newest)
		}
	}
}

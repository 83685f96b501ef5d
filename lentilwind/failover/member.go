package failover

import (
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/protocol"
)

// member is the state that a Machine keeps for one member of its group.
type member struct {
	Member
	address     string
	incarnation protocol.Incarnation
	leaving     bool
	failed      bool
	// lastContact is the time of the last announcement or answer.
	lastContact time.Time
	hasStatus   bool
	status      group.Status
	// progressedAt is the time of the last change of the received position.
	progressedAt time.Time
	// contradictions counts consecutive announcements that are inconsistent with the member being the journalled primary.
	contradictions int
	// needsPromotion is set when the journalled primary is fenced at its term but does not hold the primary role.
	needsPromotion bool

	// fenced is set once the member has answered the fence of the current term; fenceAnswer is that answer.
	fenced      bool
	fenceAnswer group.Status
	nextFence   time.Time
	follow      followState
}

// followState tracks the attempts to make a member follow the primary.
type followState struct {
	term    group.Term
	address string
	// incarnation is the member's incarnation at the time of the last success.
	incarnation protocol.Incarnation
	nextAttempt time.Time
	backoff     time.Duration
}

// reachable reports whether the member has been in contact within the given time and is not considered dead.
func (mb *member) reachable(now time.Time, within time.Duration) bool {
	return mb.hasStatus && !mb.failed && now.Sub(mb.lastContact) <= within
}

// updateStatus stores a status and reports whether it was at least as new as the last one.
//
// Fenced terms and log terms never decrease within one incarnation, so a status that would lower them was delivered out of
// order.
func (mb *member) updateStatus(now time.Time, status group.Status) bool {
	mb.lastContact = now
	mb.failed = false
	if mb.hasStatus && (status.FencedTerm < mb.status.FencedTerm || status.Term < mb.status.Term) {
		return false
	}
	if !mb.hasStatus || mb.status.Received != status.Received {
		mb.progressedAt = now
	}
	mb.hasStatus = true
	mb.status = status
	return true
}

// stalled reports whether the member has received nothing from its primary for the given time. A member that only applies
// slowly is not stalled.
func (mb *member) stalled(now time.Time, after time.Duration) bool {
	return mb.status.Lag >= after && now.Sub(mb.progressedAt) >= after
}

// hasNoLog reports whether the status belongs to a member without a log.
func hasNoLog(status group.Status) bool { return status.Term == 0 }

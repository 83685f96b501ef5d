package failover

import (
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/protocol"
)

// member is what a Machine knows of one member of its group.
type member struct {
	Member
	address     string
	incarnation protocol.Incarnation
	leaving     bool
	failed      bool
	// heard is the time of the last announcement or answer.
	heard  time.Time
	known  bool
	status group.Status
	// moved is the time of the last change of the received position.
	moved time.Time
	// contradictions counts announcements in a row that can't come from the journalled primary.
	contradictions int
	// demoted is set when the journalled primary is fenced at its term without having the role.
	demoted bool

	// fenced is set once the member has answered the fence of the current term with the answer below.
	fenced      bool
	fenceAnswer group.Status
	fenceTry    time.Time
	follow      following
}

// following is the state of telling a replica whom to follow.
type following struct {
	term    group.Term
	address string
	// incarnation is the member's own at the time of the last success.
	incarnation protocol.Incarnation
	try         time.Time
	backoff     time.Duration
}

// reachable tells whether the member may be counted on now.
func (mb *member) reachable(now time.Time, within time.Duration) bool {
	return mb.known && !mb.failed && now.Sub(mb.heard) <= within
}

// observe takes in a status and reports whether it was as new as the last one.
//
// Promises and terms never sink within one incarnation, so a status that would lower them was overtaken on its way.
func (mb *member) observe(now time.Time, status group.Status) bool {
	mb.heard = now
	mb.failed = false
	if mb.known && (status.FencedTerm < mb.status.FencedTerm || status.Term < mb.status.Term) {
		return false
	}
	if !mb.known || mb.status.Received != status.Received {
		mb.moved = now
	}
	mb.known = true
	mb.status = status
	return true
}

// starved tells whether the member has heard nothing from its primary for a while; one that only applies slowly is not starved.
func (mb *member) starved(now time.Time, after time.Duration) bool {
	return mb.status.Lag >= after && now.Sub(mb.moved) >= after
}

// blank tells whether the status is of a member that holds no log.
func blank(status group.Status) bool { return status.Term == 0 }

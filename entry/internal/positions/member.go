package positions

import (
	"sync/atomic"
	"time"

	"lentilwind.dev/lentilwind/confirm"
	"lentilwind.dev/lentilwind/group"
)

// minRefreshInterval is how much newer a sample without a higher position must be to replace the previous one.
const minRefreshInterval = 2 * time.Millisecond

// member is the newest status of one server in one group.
type member struct {
	server group.Server
	sample atomic.Pointer[confirm.StatusSample]
}

func (m *member) load() confirm.StatusSample {
	if s := m.sample.Load(); s != nil {
		return *s
	}
	return confirm.StatusSample{}
}

// update stores a sample unless a newer one is known, and reports whether it did.
func (m *member) update(status group.Status, sentAt time.Time) bool {
	old := m.sample.Load()
	if old != nil && !isNewer(old, status, sentAt) {
		return false
	}
	sample := &confirm.StatusSample{Status: status, SentAt: sentAt}
	for !m.sample.CompareAndSwap(old, sample) {
		old = m.sample.Load()
		if old != nil && !isNewer(old, status, sentAt) {
			return false
		}
	}
	return true
}

// isNewer reports whether a sample is newer than the old one. Terms and fenced terms are compared first, because samples of
// overlapping requests cannot be ordered by time.
func isNewer(old *confirm.StatusSample, status group.Status, sentAt time.Time) bool {
	if status.Term != old.Status.Term {
		return status.Term > old.Status.Term
	}
	if status.FencedTerm != old.Status.FencedTerm {
		return status.FencedTerm > old.Status.FencedTerm
	}
	if status.Received > old.Status.Received || status.Applied > old.Status.Applied {
		return !sentAt.Before(old.SentAt)
	}
	return sentAt.Sub(old.SentAt) >= minRefreshInterval
}

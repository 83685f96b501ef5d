package positions

import (
	"sync/atomic"
	"time"

	"lentilwind.dev/lentilwind/confirm"
	"lentilwind.dev/lentilwind/group"
)

// refreshAfter is how much newer an otherwise equal sample must be to take the place of the old one.
const refreshAfter = 2 * time.Millisecond

// member is one server's part in one group.
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

// offer takes in a sample unless a newer one is known, and reports whether it did.
func (m *member) offer(status group.Status, start time.Time) bool {
	old := m.sample.Load()
	if old != nil && !improves(old, status, start) {
		return false
	}
	sample := &confirm.StatusSample{Status: status, SentAt: start}
	for !m.sample.CompareAndSwap(old, sample) {
		old = m.sample.Load()
		if old != nil && !improves(old, status, start) {
			return false
		}
	}
	return true
}

// improves tells whether a sample says more than the old one. Samples of requests that overlap are ordered by what they say.
func improves(old *confirm.StatusSample, status group.Status, start time.Time) bool {
	if status.Term != old.Status.Term {
		return status.Term > old.Status.Term
	}
	if status.FencedTerm != old.Status.FencedTerm {
		return status.FencedTerm > old.Status.FencedTerm
	}
	if status.Received > old.Status.Received || status.Applied > old.Status.Applied {
		return !start.Before(old.SentAt)
	}
	return start.Sub(old.SentAt) >= refreshAfter
}

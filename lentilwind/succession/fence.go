package succession

import (
	"time"

	"lentilwind.dev/lentilwind/fleet"
)

// LeaseDriftMargin covers the difference in speed of two clocks over the longest lease of a primary.
const LeaseDriftMargin = 100 * time.Millisecond

// LeaseHolder is an entry that may hold leases on primaries, as the control leader knows it.
type LeaseHolder struct {
	// LastContact is when the leader last received a request of the entry; zero if it has received none.
	LastContact time.Time
	// Confirmed is the table of designations that the entry has confirmed to obey.
	Confirmed fleet.Epoch
}

// Fence decides when no entry uses a former primary any more, so that its successor may be ordered.
type Fence struct {
	// Epoch is the change that ended the right to use the former primary.
	Epoch fleet.Epoch
	// Lease is the duration of leases, counted from the sending of a request.
	Lease time.Duration
	// LeaderSince is when the leader's term began. Leases that earlier leaders granted were requested before.
	LeaderSince time.Time
}

// ClearAt returns when the former primary is certainly no longer used by any of the holders: the zero time if that is so already.
func (f Fence) ClearAt(holders []LeaseHolder) time.Time {
	var clearAt time.Time
	for _, h := range holders {
		if h.Confirmed >= f.Epoch {
			continue
		}
		last := h.LastContact
		if last.Before(f.LeaderSince) {
			last = f.LeaderSince
		}
		if end := last.Add(f.Lease + LeaseDriftMargin); end.After(clearAt) {
			clearAt = end
		}
	}
	return clearAt
}

package lease

import (
	"time"

	"lentilwind.dev/lentilwind/inventory"
)

// Duration is how long a lease lasts, counted from when its holder asked for it.
const Duration = 3 * time.Second

// DriftPercent bounds by how much the monotonic clocks of two processes may differ in rate.
const DriftPercent = 10

// withDrift returns how long a wait must last here to be over at a holder with a slower clock.
func withDrift(length time.Duration) time.Duration {
	return length * (100 + DriftPercent) / 100
}

// Holder is the lease of one entry; the zero value holds none.
type Holder struct {
	revision inventory.Revision
	until    time.Time
}

// Extend takes in a grant for a revision that was asked for at a time; it returns false for a grant that is not used.
//
// The caller must have applied the revision before. A grant for an older revision than the last one comes from a leader
// that lacks what was accepted, so it is not used.
func (h *Holder) Extend(asked time.Time, length time.Duration, revision inventory.Revision) bool {
	if length <= 0 || revision < h.revision {
		return false
	}
	h.revision = revision
	if until := asked.Add(length); until.After(h.until) {
		h.until = until
	}
	return true
}

// Valid tells whether the lease is valid now.
func (h *Holder) Valid(now time.Time) bool { return now.Before(h.until) }

// ExpiresAt returns the end of the lease, the zero time before the first.
func (h *Holder) ExpiresAt() time.Time { return h.until }

// Revision returns the newest revision that a lease was granted for.
func (h *Holder) Revision() inventory.Revision { return h.revision }

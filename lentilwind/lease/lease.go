package lease

import (
	"time"

	"lentilwind.dev/lentilwind/inventory"
)

// Duration is how long a lease lasts, measured from when its holder requested it.
const Duration = 3 * time.Second

// DriftPercent is the maximum difference in rate between the monotonic clocks of two processes.
const DriftPercent = 10

// withDrift returns how long the grantor must wait until length has passed on a holder's clock that runs slower.
func withDrift(length time.Duration) time.Duration {
	return length * (100 + DriftPercent) / 100
}

// Holder is the lease as the entry that holds it sees it; the zero value holds no lease.
type Holder struct {
	revision  inventory.Revision
	expiresAt time.Time
}

// Extend extends the lease by a grant that was requested at the given time; it returns false if it ignores the grant.
//
// The caller must have applied the revision before. A grant for an older revision than the last one comes from a leader
// that lacks accepted revisions, so it is ignored.
func (h *Holder) Extend(requestedAt time.Time, length time.Duration, revision inventory.Revision) bool {
	if length <= 0 || revision < h.revision {
		return false
	}
	h.revision = revision
	if expiresAt := requestedAt.Add(length); expiresAt.After(h.expiresAt) {
		h.expiresAt = expiresAt
	}
	return true
}

// Valid reports whether the lease is valid at the given time.
func (h *Holder) Valid(now time.Time) bool { return now.Before(h.expiresAt) }

// ExpiresAt returns when the lease expires; it is the zero time if none was granted.
func (h *Holder) ExpiresAt() time.Time { return h.expiresAt }

// Revision returns the newest revision for which a lease was granted.
func (h *Holder) Revision() inventory.Revision { return h.revision }

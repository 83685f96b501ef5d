package quota

import "time"

// Settings holds the timeouts and fractions that the leader and the entries must agree on.
type Settings struct {
	// MinLifetime and MaxLifetime bound the lifetime of grants.
	MinLifetime time.Duration
	MaxLifetime time.Duration
	// CutOffAfter is the time without contact to the leader after which an entry counts as cut off and uses its floor share.
	// The leader sets the share aside after half of that time.
	CutOffAfter time.Duration
	// CutOffPerEntry is the lower bound of CutOffAfter per entry. It limits the rate of keep-alive requests that the leader of
	// a large fleet receives.
	CutOffPerEntry time.Duration
	// FloorFraction is the fraction of each workspace's quota that is divided into floor shares, the minimum that each entry
	// may use without the leader.
	FloorFraction float64
	// GroupShares lets cut-off entries of one data centre use their floor shares together where a single share is below one request.
	GroupShares bool
}

// DefaultSettings returns the settings for a fleet without special requirements.
func DefaultSettings() Settings {
	return Settings{
		MinLifetime:   20 * time.Millisecond,
		MaxLifetime:   100 * time.Millisecond,
		CutOffAfter:   3 * time.Second,
		FloorFraction: 0.5,
	}
}

// FastFailoverSettings returns the settings for a fleet that must keep serving at nearly its full rate while control elects a
// leader: entries fall back to their floor shares after slightly more than twice the lifetime of a grant, and the shares make
// up the whole quota.
func FastFailoverSettings() Settings {
	s := DefaultSettings()
	s.CutOffAfter = 240 * time.Millisecond
	s.CutOffPerEntry = 5 * time.Millisecond
	s.FloorFraction = 1
	s.GroupShares = true
	return s
}

// MaxClockDrift is the largest assumed difference in speed of two monotonic clocks, as a fraction of the elapsed time.
const MaxClockDrift = 0.1

// Limits holds a workspace's quota for the whole fleet.
type Limits struct {
	// Rate is in requests per second.
	Rate float64
	// Burst is in requests.
	Burst float64
}

// lifetimeFraction is the lifetime of a grant as a fraction of the time in which the rate refills the burst.
const lifetimeFraction = 1.0 / 8

// maxWait is the longest time that a request waits for a token while the leader answers. Tokens missing from the buckets
// because of outstanding grants are refilled in that time.
func (s Settings) maxWait() time.Duration { return s.MaxLifetime + s.MinLifetime }

// forEntries returns the settings for a fleet with the given number of entries.
func (s Settings) forEntries(entries int) Settings {
	s.CutOffAfter = max(s.CutOffAfter, time.Duration(entries)*s.CutOffPerEntry)
	return s
}

// contactInterval is the longest time between two requests of an entry to the leader.
func (s Settings) contactInterval() time.Duration { return s.CutOffAfter / 8 }

// GrantLifetime returns how long a grant from these limits may be used, counted from the sending of the request.
//
// A long lifetime saves messages. A short one leaves more of the burst usable, because the leader's bucket must be smaller by
// the tokens that are refilled during the lifetime.
func (s Settings) GrantLifetime(l Limits) time.Duration {
	lifetime := time.Duration(lifetimeFraction * l.Burst / l.Rate * float64(time.Second))
	return min(max(lifetime, s.MinLifetime), s.MaxLifetime)
}

// FloorShare returns the limits of one cut-off entry when the floor is divided among the given number of entries. It is zero
// when the burst of the share would be below one request.
func (s Settings) FloorShare(l Limits, entries int) Limits {
	share := s.rawShare(l, entries)
	if share.Burst < 1 {
		return Limits{}
	}
	return share
}

// rawShare returns the limits of one entry's part of the floor, which may be below one request.
func (s Settings) rawShare(l Limits, entries int) Limits {
	if entries == 0 {
		return Limits{}
	}
	fraction := s.FloorFraction / float64(entries)
	return Limits{Rate: l.Rate * fraction, Burst: l.Burst * fraction}
}

// setAsideShare returns the part of a workspace's quota that the leader sets aside for one entry that may be cut off.
func (s Settings) setAsideShare(l Limits, entries int) Limits {
	if s.GroupShares {
		return s.rawShare(l, entries)
	}
	return s.FloorShare(l, entries)
}

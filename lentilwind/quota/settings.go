package quota

import "time"

// Settings are the times and fractions that the leader and the entries must agree on.
type Settings struct {
	// MinLifetime and MaxLifetime bound the lifetime of grants.
	MinLifetime time.Duration
	MaxLifetime time.Duration
	// CutOffAfter is the time without contact after which an entry uses its floor share; the leader sets the share aside from
	// half of that time on.
	CutOffAfter time.Duration
	// CutOffPerEntry raises CutOffAfter to this much for each entry, so that the leader of a large fleet is asked no more often
	// for it.
	CutOffPerEntry time.Duration
	// FloorFraction is the part of each workspace's quota that is divided into floor shares.
	FloorFraction float64
}

// DefaultSettings returns the settings of a fleet.
func DefaultSettings() Settings {
	return Settings{
		MinLifetime:   20 * time.Millisecond,
		MaxLifetime:   100 * time.Millisecond,
		CutOffAfter:   3 * time.Second,
		FloorFraction: 0.5,
	}
}

// FastFailoverSettings returns the settings of a fleet that must go on at nearly its whole rate while control elects a leader: entries
// fall back to their floor shares after twice the life of a grant, and the shares make up all of the quota.
func FastFailoverSettings() Settings {
	s := DefaultSettings()
	s.CutOffAfter = 240 * time.Millisecond
	s.CutOffPerEntry = 5 * time.Millisecond
	s.FloorFraction = 1
	return s
}

// MaxClockDrift is the most by which two monotonic clocks differ, as a fraction of the elapsed time.
const MaxClockDrift = 0.1

// Limits are a workspace's quota over the whole fleet.
type Limits struct {
	// Rate is in requests a second.
	Rate float64
	// Burst is in requests.
	Burst float64
}

// lifetimeShare is the fraction of the time to use up the burst at the rate that a grant may live.
const lifetimeShare = 1.0 / 8

// maxWait is the longest that a request waits for a token: what the buckets lack for grants in flight flows in meanwhile.
func (s Settings) maxWait() time.Duration { return s.MaxLifetime + s.MinLifetime }

// sized returns the settings for a fleet of a number of entries.
func (s Settings) sized(entries int) Settings {
	s.CutOffAfter = max(s.CutOffAfter, time.Duration(entries)*s.CutOffPerEntry)
	return s
}

// contactEvery is the longest time between two requests of an entry to the leader.
func (s Settings) contactEvery() time.Duration { return s.CutOffAfter / 8 }

// GrantLifetime returns how long a grant out of these limits may be used, counted from the moment at which it was asked for.
//
// A long life saves messages. A short one leaves more of the burst, since the bucket is smaller by what flows in meanwhile.
func (s Settings) GrantLifetime(l Limits) time.Duration {
	life := time.Duration(lifetimeShare * l.Burst / l.Rate * float64(time.Second))
	return min(max(life, s.MinLifetime), s.MaxLifetime)
}

// FloorShare returns the share of one cut-off entry among a number of them; shares below one request are none.
func (s Settings) FloorShare(l Limits, shares int) Limits {
	fraction := s.FloorFraction / float64(max(1, shares))
	if shares == 0 || l.Burst*fraction < 1 {
		return Limits{}
	}
	return Limits{Rate: l.Rate * fraction, Burst: l.Burst * fraction}
}

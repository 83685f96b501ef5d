package claim

import "time"

// Settings are the times by which a claim is judged, chosen from the interval of announcements.
type Settings struct {
	// Silence is the time after the holder's last announcement from which it counts as silent.
	Silence time.Duration
	// Spacing is the least time between two announcements of a claimant that count as two.
	Spacing time.Duration
}

// ForInterval returns the settings for writers that announce themselves at an interval.
func ForInterval(interval time.Duration) Settings {
	return Settings{Silence: interval * 3 / 2, Spacing: interval / 2}
}

// Order tells how a claim compares with the holder's last announcement.
type Order string

// The orders.
const (
	// Newer claims look like those of a holder's successor, such as its next run.
	Newer Order = "newer"
	// Older claims look like announcements that were delayed on their way.
	Older Order = "older"
)

// maxPending limits the claimants that are remembered.
const maxPending = 256

// Claims remembers the claims that were not accepted. It is not safe for concurrent use.
//
// A live writer announces itself periodically, so a claim against one that still does must be repeated before it is accepted: a single
// announcement of another writer never replaces a live holder, however large its numbers are. A claim that looks older is accepted only
// from a writer that continues to announce itself while the holder is silent.
type Claims[K comparable] struct {
	settings Settings
	// since holds the time of each claimant's first claim.
	since map[K]time.Time
}

// New returns an empty Claims.
func New[K comparable](settings Settings) *Claims[K] {
	return &Claims[K]{settings: settings, since: make(map[K]time.Time)}
}

// Accept reports whether a claimant replaces the holder now, given when the holder last announced itself. A claim against several holders must be
// accepted for each of them.
func (c *Claims[K]) Accept(now time.Time, claimant K, order Order, heardAt time.Time) bool {
	since, known := c.since[claimant]
	if !known || since.Before(heardAt) {
		c.remember(claimant, now)
		since = now
	}
	silent := now.Sub(heardAt) >= c.settings.Silence
	repeated := now.Sub(since) >= c.settings.Spacing
	if order == Older {
		return silent && repeated
	}
	return silent || repeated
}

func (c *Claims[K]) remember(claimant K, now time.Time) {
	c.since[claimant] = now
	if len(c.since) <= maxPending {
		return
	}
	oldest := claimant
	for other, since := range c.since {
		if since.Before(c.since[oldest]) {
			oldest = other
		}
	}
	delete(c.since, oldest)
}

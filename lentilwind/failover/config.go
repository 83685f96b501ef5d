package failover

import (
	"time"

	"lentilwind.dev/lentilwind/group"
)

// Config has the times and policies of failover.
type Config struct {
	// HeardWithin is how recent a member's announcement must be for the member to count as reachable.
	HeardWithin time.Duration
	// RetryEvery is the time after which an unanswered effect is sent again.
	RetryEvery time.Duration
	// ChooseGrace is how long a fenced majority waits for the members that are thought to be alive.
	ChooseGrace time.Duration
	// PromoteWithin is how long the chosen member may take before a newer term is begun.
	PromoteWithin time.Duration
	// RefuseAfter is how long a majority may stay away before the refusal is reported; the report is repeated each RefuseEvery.
	RefuseAfter time.Duration
	RefuseEvery time.Duration
	// BackoffMin and BackoffMax bound the time between two terms begun by the same group.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// StableAfter is how long a primary must serve before the back-off starts anew.
	StableAfter time.Duration
	// StarvedAfter is the time without news from its primary after which a replica is told again whom to follow.
	StarvedAfter time.Duration
	// IsolatedAfter is the time after which a primary is replaced whose records reach no majority, though it answers.
	IsolatedAfter time.Duration
	// DrainLimit bounds the time that running transactions get in a planned handover.
	DrainLimit time.Duration
	// CatchUpLimit bounds the wait for the target of a handover.
	CatchUpLimit time.Duration
	// FailsTogether gives the learned weight of common failure of two servers; nil knows nothing.
	FailsTogether func(a, b group.Server) float64
	// Primaries gives the number of groups that a server is the primary of; nil knows nothing.
	Primaries func(server group.Server) int
}

// DefaultConfig returns the times for groups whose servers announce themselves every second.
func DefaultConfig() Config {
	return Config{
		HeardWithin:   3 * time.Second,
		RetryEvery:    300 * time.Millisecond,
		ChooseGrace:   150 * time.Millisecond,
		PromoteWithin: 1500 * time.Millisecond,
		RefuseAfter:   2 * time.Second,
		RefuseEvery:   30 * time.Second,
		BackoffMin:    500 * time.Millisecond,
		BackoffMax:    8 * time.Second,
		StableAfter:   time.Minute,
		StarvedAfter:  3 * time.Second,
		IsolatedAfter: 6 * time.Second,
		DrainLimit:    2 * time.Second,
		CatchUpLimit:  2 * time.Second,
	}
}

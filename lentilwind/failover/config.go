package failover

import (
	"time"

	"lentilwind.dev/lentilwind/group"
)

// Config has the times and policies of failover.
type Config struct {
	// AnnouncementTimeout is how recent a member's announcement must be for the member to count as reachable.
	AnnouncementTimeout time.Duration
	// RetryInterval is the time after which an unanswered effect is sent again.
	RetryInterval time.Duration
	// SelectionGrace is how long a fenced majority waits for the members that are thought to be alive.
	SelectionGrace time.Duration
	// PromotionTimeout is how long the chosen member may take before a newer term is begun.
	PromotionTimeout time.Duration
	// RefusalReportDelay is how long a majority may stay away before the refusal is reported; the report is repeated each RefuseEvery.
	RefusalReportDelay    time.Duration
	RefusalReportInterval time.Duration
	// BackoffMin and BackoffMax bound the time between two terms begun by the same group.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// StableAfter is how long a primary must serve before the back-off starts anew.
	StableAfter time.Duration
	// ReplicaStalledAfter is the time without news from its primary after which a replica is told again whom to follow.
	ReplicaStalledAfter time.Duration
	// PrimaryIsolatedAfter is the time after which a primary is replaced whose records reach no majority, though it answers.
	PrimaryIsolatedAfter time.Duration
	// DrainTimeout bounds the time that running transactions get in a planned handover.
	DrainTimeout time.Duration
	// CatchUpTimeout bounds the wait for the target of a handover.
	CatchUpTimeout time.Duration
	// FailureCorrelation gives the learned weight of common failure of two servers; nil knows nothing.
	FailureCorrelation func(a, b group.Server) float64
	// PrimaryCount gives the number of groups that a server is the primary of; nil knows nothing.
	PrimaryCount func(server group.Server) int
}

// DefaultConfig returns the times for groups whose servers announce themselves every second.
func DefaultConfig() Config {
	return Config{
		AnnouncementTimeout:   3 * time.Second,
		RetryInterval:         300 * time.Millisecond,
		SelectionGrace:        150 * time.Millisecond,
		PromotionTimeout:      1500 * time.Millisecond,
		RefusalReportDelay:    2 * time.Second,
		RefusalReportInterval: 30 * time.Second,
		BackoffMin:            500 * time.Millisecond,
		BackoffMax:            8 * time.Second,
		StableAfter:           time.Minute,
		ReplicaStalledAfter:   3 * time.Second,
		PrimaryIsolatedAfter:  6 * time.Second,
		DrainTimeout:          2 * time.Second,
		CatchUpTimeout:        2 * time.Second,
	}
}

package failover

import (
	"time"

	"lentilwind.dev/lentilwind/group"
)

// Config holds the timeouts and policies of failover.
type Config struct {
	// AnnouncementTimeout is the maximum age of the last announcement or answer of a member that counts as reachable.
	AnnouncementTimeout time.Duration
	// RetryInterval is the interval at which an unanswered effect is sent again.
	RetryInterval time.Duration
	// SelectionGrace is how long, once a majority is fenced, the selection waits for the other members that seem to be alive.
	SelectionGrace time.Duration
	// PromotionTimeout is how long the selected member may take to be promoted before a newer term is started.
	PromotionTimeout time.Duration
	// RefusalReportDelay is how long a majority may be missing before the refusal to fail over is reported. The report is
	// repeated every RefusalReportInterval.
	RefusalReportDelay    time.Duration
	RefusalReportInterval time.Duration
	// BackoffMin and BackoffMax bound the interval between two terms started by the same group.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// StableAfter is how long a primary must serve before the backoff is reset.
	StableAfter time.Duration
	// ReplicaStalledAfter is the time without data from its primary after which a replica is told again which server to follow.
	ReplicaStalledAfter time.Duration
	// PrimaryIsolatedAfter is the time after which a primary is replaced that answers, but whose records reach no majority.
	PrimaryIsolatedAfter time.Duration
	// DrainTimeout bounds the time that running transactions get to end in a planned handover.
	DrainTimeout time.Duration
	// CatchUpTimeout bounds the wait for the target of a handover to catch up with the primary.
	CatchUpTimeout time.Duration
	// FailureCorrelation returns the learned correlation of failures of two servers; if nil, no correlation is known.
	FailureCorrelation func(a, b group.Server) float64
	// PrimaryCount returns the number of groups that a server is the primary of; if nil, all servers count as equally loaded.
	PrimaryCount func(server group.Server) int
}

// DefaultConfig returns the configuration for groups whose servers announce themselves every second.
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

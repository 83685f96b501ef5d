package route

import (
	"cmp"
	"time"
)

// Option is a member that may serve a read, and the time until which it may.
type Option struct {
	Member *Member
	Until  time.Time
}

// Options holds the alternatives that a policy chooses from.
type Options struct {
	// Replica is the best replica that may serve the read now; its Member is nil when there is none.
	Replica Option
	// Primary has no Member while the group has no known primary.
	Primary Option
	// CatchUp is the shortest expected time until a replica can serve the read; it is valid if Lagging is true.
	CatchUp time.Duration
	Lagging bool
	// Waited is how long the read has already waited for a replica.
	Waited time.Duration
}

func (o *Options) addReplica(option Option) {
	if o.Replica.Member == nil || compare(option.Member, o.Replica.Member) < 0 {
		o.Replica = option
	}
}

func (o *Options) addLagging(catchUp time.Duration, known bool) {
	if !known {
		return
	}
	if !o.Lagging || catchUp < o.CatchUp {
		o.CatchUp = catchUp
	}
	o.Lagging = true
}

// distanceCost is, by distance, how much shorter the expected wait of a more distant member must be for it to be preferred.
var distanceCost = [...]time.Duration{SameDataCentre: 0, SameRegion: 2 * time.Millisecond, OtherRegion: 40 * time.Millisecond}

// compare orders members by distance and expected wait, then by observed joint failures, then by name.
func compare(a, b *Member) int {
	return cmp.Or(
		cmp.Compare(a.ExpectedWait+distanceCost[a.Distance], b.ExpectedWait+distanceCost[b.Distance]),
		cmp.Compare(a.JointFailures, b.JointFailures),
		cmp.Compare(a.Server, b.Server),
	)
}

// Policy decides whether a read runs on a replica, waits for one or runs on the primary.
type Policy interface {
	decide(options *Options, now time.Time) Choice
}

// PrimaryOnly sends every read to the primary; it is the baseline for comparison with policies that use replicas.
type PrimaryOnly struct{}

// PreferReplica uses a replica that can serve the read at once, otherwise the primary.
type PreferReplica struct{}

// BoundedWait waits for a replica up to a limit before it uses the primary.
type BoundedWait struct {
	// Limit bounds the total wait of one read.
	Limit time.Duration
	// RetryInterval is the longest time until the replicas are checked again.
	RetryInterval time.Duration
}

// DefaultPolicy is the policy that entries use.
var DefaultPolicy = BoundedWait{Limit: 60 * time.Millisecond, RetryInterval: 5 * time.Millisecond}

func (PrimaryOnly) decide(o *Options, _ time.Time) Choice { return o.choosePrimary() }

func (PreferReplica) decide(o *Options, _ time.Time) Choice {
	if o.Replica.Member != nil {
		return o.chooseReplica()
	}
	return o.choosePrimary()
}

func (p BoundedWait) decide(o *Options, now time.Time) Choice {
	if o.Replica.Member != nil {
		return o.chooseReplica()
	}
	remaining := p.Limit - o.Waited
	if o.Lagging && o.CatchUp <= remaining && remaining > 0 {
		return Choice{Decision: Wait, Until: now.Add(min(remaining, p.RetryInterval))}
	}
	return o.choosePrimary()
}

func (o *Options) chooseReplica() Choice {
	return Choice{Decision: Replica, Server: o.Replica.Member.Server, Until: o.Replica.Until}
}

func (o *Options) choosePrimary() Choice {
	if o.Primary.Member == nil || !o.Primary.Member.Usable {
		return Choice{Decision: Unavailable}
	}
	return Choice{Decision: Primary, Server: o.Primary.Member.Server, Until: o.Primary.Until}
}

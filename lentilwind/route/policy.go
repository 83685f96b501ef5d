package route

import (
	"cmp"
	"time"
)

// Option is a member that may serve a read, and until when.
type Option struct {
	Member *Member
	Until  time.Time
}

// Options is what a policy chooses from.
type Options struct {
	// Replica is the best replica that may serve the read now; its Member is nil when there is none.
	Replica Option
	// Primary has no Member while the group has no known primary.
	Primary Option
	// CatchUp is the least expected time until a replica may serve the read, where Lagging is true.
	CatchUp time.Duration
	Lagging bool
	Waited  time.Duration
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

// distanceCost is the expected wait that a member further away must save, by distance.
var distanceCost = [...]time.Duration{SameDataCentre: 0, SameRegion: 2 * time.Millisecond, OtherRegion: 40 * time.Millisecond}

// compare orders members by distance and expected wait, then by learned common failure.
func compare(a, b *Member) int {
	return cmp.Or(
		cmp.Compare(a.ExpectedWait+distanceCost[a.Distance], b.ExpectedWait+distanceCost[b.Distance]),
		cmp.Compare(a.JointFailures, b.JointFailures),
		cmp.Compare(a.Server, b.Server),
	)
}

// Policy decides between a replica, a wait for one and the primary.
type Policy interface {
	decide(options *Options, now time.Time) Choice
}

// PrimaryOnly sends every read to the primary; it is the baseline without replicas.
type PrimaryOnly struct{}

// PreferReplica takes a replica that may serve the read at once, else the primary.
type PreferReplica struct{}

// BoundedWait waits for a replica up to a limit before it takes the primary.
type BoundedWait struct {
	// Limit bounds the whole wait of one read.
	Limit time.Duration
	// RetryInterval is the longest time to the next look at the replicas.
	RetryInterval time.Duration
}

// DefaultPolicy is the policy of an entry.
var DefaultPolicy = BoundedWait{Limit: 60 * time.Millisecond, RetryInterval: 5 * time.Millisecond}

func (PrimaryOnly) decide(o *Options, _ time.Time) Choice { return o.primary() }

func (PreferReplica) decide(o *Options, _ time.Time) Choice {
	if o.Replica.Member != nil {
		return o.replica()
	}
	return o.primary()
}

func (p BoundedWait) decide(o *Options, now time.Time) Choice {
	if o.Replica.Member != nil {
		return o.replica()
	}
	left := p.Limit - o.Waited
	if o.Lagging && o.CatchUp <= left && left > 0 {
		return Choice{Decision: Wait, Until: now.Add(min(left, p.RetryInterval))}
	}
	return o.primary()
}

func (o *Options) replica() Choice {
	return Choice{Decision: Replica, Server: o.Replica.Member.Server, Until: o.Replica.Until}
}

func (o *Options) primary() Choice {
	if o.Primary.Member == nil || !o.Primary.Member.Usable {
		return Choice{Decision: Unavailable}
	}
	return Choice{Decision: Primary, Server: o.Primary.Member.Server, Until: o.Primary.Until}
}

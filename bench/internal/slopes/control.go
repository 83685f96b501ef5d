package slopes

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"lentilwind.dev/instance/link"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

const (
	// renewalWait is the wait that entries allow in a renewal: how long the leader may delay the reply.
	renewalWait      = 500 * time.Millisecond
	announceInterval = time.Second
	announcerCount   = 8
	changeCount      = 9
	settleTime       = time.Second
)

// MeasureRenewals measures the leader under numbers of entries that renew their leases, and how long a change of the
// inventory takes to be in force.
func MeasureRenewals(ctx context.Context, options Options, entries []int) ([]Series, error) {
	series := newUsageSeries("leader, renewals", "entry")
	median := Series{Measurement: "apply to in force", Quantity: "median, ms", SizeUnit: "entry"}
	slowest := Series{Measurement: "apply to in force", Quantity: "worst of 9, ms", SizeUnit: "entry"}
	for _, n := range entries {
		rates, times, err := measureRenewalsAtSize(ctx, options, n)
		if err != nil {
			return nil, err
		}
		series.addRates(n, rates)
		median.addPoint(n, times[changeCount/2])
		slowest.addPoint(n, times[changeCount-1])
	}
	return fitAll(append(series[:], median, slowest)...), nil
}

func measureRenewalsAtSize(ctx context.Context, options Options, entries int) (rates usageRates, times []float64, err error) {
	c, err := startCluster(ctx, options, fmt.Sprintf("renewals-%d", entries), 3)
	if err != nil {
		return rates, nil, err
	}
	defer func() { err = errors.Join(err, c.close()) }()
	for i := range entries {
		name := fmt.Sprintf("light-%d", i)
		e, err := c.openEndpoint()
		if err != nil {
			return rates, nil, err
		}
		c.background.Go(func() { c.simulateEntry(e, name) })
	}
	if err := c.awaitCalls(ctx, entries); err != nil {
		return rates, nil, err
	}
	inv := newLayout(3, 0).Inventory(nil)
	inv.Workspaces[0].Rate++
	if _, err := c.applyInventory(ctx, &inv); err != nil {
		return rates, nil, err
	}
	if rates, err = c.measureLeader(ctx, options.SampleDuration); err != nil {
		return rates, nil, err
	}
	for range changeCount {
		inv.Workspaces[0].Rate++
		took, err := c.applyInventory(ctx, &inv)
		if err != nil {
			return rates, nil, err
		}
		times = append(times, float64(took.Microseconds())/1000)
	}
	slices.Sort(times)
	return rates, times, nil
}

// awaitCalls waits until the number of answered calls has reached the number of entries.
func (c *cluster) awaitCalls(ctx context.Context, entries int) error {
	for c.answered.Load() < int64(entries) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// simulateEntry renews the lease of an entry until the cluster is closed, and reports the inventory revision and the
// topology version that it received last. It does not serve callers.
func (c *cluster) simulateEntry(e *link.Endpoint, name string) {
	request := protocol.RenewRequest{Wait: renewalWait}
	for c.ctx.Err() == nil {
		request.Entries = []protocol.EntryReport{{
			Name: inventory.InstanceName(name), Incarnation: 1, DataCentre: "dc-1", Address: "127.0.0.1:1", Applied: request.Inventory,
		}}
		var reply protocol.RenewReply
		if err := c.callLeader(e, protocol.KindRenew, &request, &reply); err != nil {
			time.Sleep(pollInterval)
			continue
		}
		request.Inventory = max(request.Inventory, reply.Revision)
		if reply.Topology != nil {
			request.Topology = reply.Topology.Version
		}
	}
}

// MeasureAnnouncements measures the leader under numbers of databases that announce themselves every second.
func MeasureAnnouncements(ctx context.Context, options Options, databases []int) ([]Series, error) {
	series := newUsageSeries("leader, announcements", "database")
	for _, n := range databases {
		rates, err := measureAnnouncementsAtSize(ctx, options, n)
		if err != nil {
			return nil, err
		}
		series.addRates(n, rates)
	}
	return fitAll(series[:]...), nil
}

func measureAnnouncementsAtSize(ctx context.Context, options Options, databases int) (rates usageRates, err error) {
	c, err := startCluster(ctx, options, fmt.Sprintf("announcements-%d", databases), 3)
	if err != nil {
		return rates, err
	}
	defer func() { err = errors.Join(err, c.close()) }()
	inv := newLayout(3, databases).Inventory(nil)
	if _, err := c.applyInventory(ctx, &inv); err != nil {
		return rates, err
	}
	announcements := newAnnouncements(&inv)
	for i := range announcerCount {
		e, err := c.openEndpoint()
		if err != nil {
			return rates, err
		}
		subset := announcements[i*len(announcements)/announcerCount : (i+1)*len(announcements)/announcerCount]
		c.background.Go(func() { c.simulateAnnouncements(e, subset) })
	}
	time.Sleep(announceInterval + settleTime)
	return c.measureLeader(ctx, options.SampleDuration)
}

// newAnnouncements returns an announcement of every database; the first of each service is the primary.
func newAnnouncements(inv *inventory.Inventory) []protocol.Announcement {
	var list []protocol.Announcement
	for _, s := range inv.Services {
		for i, d := range s.Databases {
			status := group.Status{Role: group.RoleReplica, Term: 1, FencedTerm: 1}
			if i == 0 {
				status.Role = group.RolePrimary
			}
			list = append(list, protocol.Announcement{
				Service: s.Name, Server: d.Name, DataCentre: d.DataCentre, Address: "127.0.0.1:1", Incarnation: 1, Slots: []group.Status{status},
			})
		}
	}
	return list
}

// simulateAnnouncements sends each announcement once per announceInterval, spread evenly over it, until the cluster is
// closed.
func (c *cluster) simulateAnnouncements(e *link.Endpoint, announcements []protocol.Announcement) {
	ticker := time.NewTicker(announceInterval / time.Duration(len(announcements)))
	defer ticker.Stop()
	for i := 0; c.ctx.Err() == nil; i = (i + 1) % len(announcements) {
		announcements[i].Sequence++
		_ = c.callLeader(e, protocol.KindAnnounce, &announcements[i], &protocol.AnnounceReply{})
		select {
		case <-ticker.C:
		case <-c.ctx.Done():
		}
	}
}

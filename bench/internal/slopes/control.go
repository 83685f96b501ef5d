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
	// renewWait is as long as entries let control hold a reply back.
	renewWait      = 500 * time.Millisecond
	announcePeriod = time.Second
	announcers     = 8
	changes        = 9
	settleTime     = time.Second
)

// MeasureRenewals measures the leader under entries that renew, and how long a change takes to be in force.
func MeasureRenewals(ctx context.Context, options Options, entries []int) ([]Series, error) {
	role := newRoleSeries("leader, renewals", "entry")
	middle := Series{Measurement: "apply to in force", Quantity: "median, ms", SizeUnit: "entry"}
	worst := Series{Measurement: "apply to in force", Quantity: "worst of 9, ms", SizeUnit: "entry"}
	for _, n := range entries {
		used, times, err := renewals(ctx, options, n)
		if err != nil {
			return nil, err
		}
		role.add(n, used)
		middle.add(n, times[changes/2])
		worst.add(n, times[changes-1])
	}
	return fitted(append(role[:], middle, worst)...), nil
}

func renewals(ctx context.Context, options Options, entries int) (used rates, times []float64, err error) {
	p, err := newPlant(ctx, options, fmt.Sprintf("renewals-%d", entries), 3)
	if err != nil {
		return used, nil, err
	}
	defer func() { err = errors.Join(err, p.close()) }()
	for i := range entries {
		name := fmt.Sprintf("light-%d", i)
		e, err := p.endpoint()
		if err != nil {
			return used, nil, err
		}
		p.running.Go(func() { p.subscribe(e, name) })
	}
	if err := p.awaitAnswers(ctx, entries); err != nil {
		return used, nil, err
	}
	inv := layout(3, 0).Inventory(nil)
	inv.Workspaces[0].Rate++
	if _, err := p.apply(ctx, &inv); err != nil {
		return used, nil, err
	}
	if used, err = p.watch(ctx, options.SampleDuration); err != nil {
		return used, nil, err
	}
	for range changes {
		inv.Workspaces[0].Rate++
		took, err := p.apply(ctx, &inv)
		if err != nil {
			return used, nil, err
		}
		times = append(times, float64(took.Microseconds())/1000)
	}
	slices.Sort(times)
	return used, times, nil
}

// awaitAnswers waits until as many calls as there are entries have been answered.
func (p *plant) awaitAnswers(ctx context.Context, entries int) error {
	for p.answered.Load() < int64(entries) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(leaderPoll):
		}
	}
	return nil
}

// subscribe is a light entry: it renews its lease and takes note of what has changed.
func (p *plant) subscribe(e *link.Endpoint, name string) {
	request := protocol.RenewRequest{Wait: renewWait}
	for p.ctx.Err() == nil {
		request.Entries = []protocol.EntryReport{{
			Name: inventory.InstanceName(name), Incarnation: 1, DataCentre: "dc-1", Address: "127.0.0.1:1", Applied: request.Inventory,
		}}
		var reply protocol.RenewReply
		if err := p.call(e, protocol.KindRenew, &request, &reply); err != nil {
			time.Sleep(leaderPoll)
			continue
		}
		request.Inventory = max(request.Inventory, reply.Revision)
		if reply.Topology != nil {
			request.Topology = reply.Topology.Version
		}
	}
}

// MeasureAnnouncements measures the leader under databases that announce themselves every second.
func MeasureAnnouncements(ctx context.Context, options Options, databases []int) ([]Series, error) {
	role := newRoleSeries("leader, announcements", "database")
	for _, n := range databases {
		used, err := announcements(ctx, options, n)
		if err != nil {
			return nil, err
		}
		role.add(n, used)
	}
	return fitted(role[:]...), nil
}

func announcements(ctx context.Context, options Options, databases int) (used rates, err error) {
	p, err := newPlant(ctx, options, fmt.Sprintf("announcements-%d", databases), 3)
	if err != nil {
		return used, err
	}
	defer func() { err = errors.Join(err, p.close()) }()
	inv := layout(3, databases).Inventory(nil)
	if _, err := p.apply(ctx, &inv); err != nil {
		return used, err
	}
	list := announced(&inv)
	for i := range announcers {
		e, err := p.endpoint()
		if err != nil {
			return used, err
		}
		part := list[i*len(list)/announcers : (i+1)*len(list)/announcers]
		p.running.Go(func() { p.announce(e, part) })
	}
	time.Sleep(announcePeriod + settleTime)
	return p.watch(ctx, options.SampleDuration)
}

// announced returns an announcement of every database; the first of a service is the primary.
func announced(inv *inventory.Inventory) []protocol.Announcement {
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

// announce passes the announcements of a part of the databases on, evenly over each period.
func (p *plant) announce(e *link.Endpoint, list []protocol.Announcement) {
	ticker := time.NewTicker(announcePeriod / time.Duration(len(list)))
	defer ticker.Stop()
	for i := 0; p.ctx.Err() == nil; i = (i + 1) % len(list) {
		list[i].Sequence++
		_ = p.call(e, protocol.KindAnnounce, &list[i], &protocol.AnnounceReply{})
		select {
		case <-ticker.C:
		case <-p.ctx.Done():
		}
	}
}

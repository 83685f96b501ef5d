package slopes

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// MeasureJournal measures what control processes send each other in calm and for a change.
func MeasureJournal(ctx context.Context, options Options, members []int) ([]Series, error) {
	names := []string{"calm, bytes/s in the fleet", "calm, packets/s in the fleet", "change, bytes in the fleet", "calm, leader processor, % of a core"}
	list := make([]Series, len(names))
	for i, name := range names {
		list[i] = Series{Measurement: "journal", Quantity: name, SizeUnit: "member"}
	}
	for _, n := range members {
		values, err := journal(ctx, options, n)
		if err != nil {
			return nil, err
		}
		for i, value := range values {
			list[i].add(n, value)
		}
	}
	return fitted(list...), nil
}

func journal(ctx context.Context, options Options, members int) (values []float64, err error) {
	p, err := newPlant(ctx, options, fmt.Sprintf("journal-%d", members), members)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, p.close()) }()
	inv := layout(members, 0).Inventory(nil)
	inv.Workspaces[0].Rate++
	if _, err := p.apply(ctx, &inv); err != nil {
		return nil, err
	}
	packets, bytes := p.traffic()
	calm, err := p.watch(ctx, options.SampleDuration)
	if err != nil {
		return nil, err
	}
	calmPackets, calmBytes := p.traffic()
	began := time.Now()
	for range changes {
		inv.Workspaces[0].Rate++
		if _, err := p.apply(ctx, &inv); err != nil {
			return nil, err
		}
	}
	_, busyBytes := p.traffic()
	perSecond := float64(calmBytes-bytes) / options.SampleDuration.Seconds()
	spent := float64(busyBytes-calmBytes) - perSecond*time.Since(began).Seconds()
	return []float64{
		perSecond, float64(calmPackets-packets) / options.SampleDuration.Seconds(), spent / changes, calm.processor,
	}, nil
}

// traffic sums what all control processes have sent each other.
func (p *plant) traffic() (packets, bytes uint64) {
	for _, c := range p.fleet.Control {
		some, size := c.PeerRelay.Traffic()
		packets += some
		bytes += size
	}
	return packets, bytes
}

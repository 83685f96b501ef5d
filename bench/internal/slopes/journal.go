package slopes

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// MeasureJournal measures the traffic between control processes while idle and for a change of the inventory.
func MeasureJournal(ctx context.Context, options Options, members []int) ([]Series, error) {
	names := []string{"calm, bytes/s in the fleet", "calm, packets/s in the fleet", "change, bytes in the fleet", "calm, leader processor, % of a core"}
	list := make([]Series, len(names))
	for i, name := range names {
		list[i] = Series{Measurement: "journal", Quantity: name, SizeUnit: "member"}
	}
	for _, n := range members {
		values, err := measureJournalAtSize(ctx, options, n)
		if err != nil {
			return nil, err
		}
		for i, value := range values {
			list[i].addPoint(n, value)
		}
	}
	return fitAll(list...), nil
}

func measureJournalAtSize(ctx context.Context, options Options, members int) (values []float64, err error) {
	c, err := startCluster(ctx, options, fmt.Sprintf("journal-%d", members), members)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, c.close()) }()
	inv := newLayout(members, 0).Inventory(nil)
	inv.Workspaces[0].Rate++
	if _, err := c.applyInventory(ctx, &inv); err != nil {
		return nil, err
	}
	packets, bytes := c.totalTraffic()
	idle, err := c.measureLeader(ctx, options.SampleDuration)
	if err != nil {
		return nil, err
	}
	idlePackets, idleBytes := c.totalTraffic()
	startTime := time.Now()
	for range changeCount {
		inv.Workspaces[0].Rate++
		if _, err := c.applyInventory(ctx, &inv); err != nil {
			return nil, err
		}
	}
	_, changedBytes := c.totalTraffic()
	idleBytesPerSecond := float64(idleBytes-bytes) / options.SampleDuration.Seconds()
	changeBytes := float64(changedBytes-idleBytes) - idleBytesPerSecond*time.Since(startTime).Seconds()
	return []float64{
		idleBytesPerSecond, float64(idlePackets-packets) / options.SampleDuration.Seconds(), changeBytes / changeCount, idle.processor,
	}, nil
}

// totalTraffic sums the traffic that the relays of all control processes have counted.
func (c *cluster) totalTraffic() (packets, bytes uint64) {
	for _, instance := range c.fleet.Control {
		sentPackets, sentBytes := instance.PeerRelay.Traffic()
		packets += sentPackets
		bytes += sentBytes
	}
	return packets, bytes
}

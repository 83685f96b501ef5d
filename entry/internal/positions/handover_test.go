package positions_test

import (
	"testing"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/protocol"
)

// applyConfiguration applies a newer configuration of slot 0 to the directory.
func (c *cluster) applyConfiguration(count uint64, configuration group.Configuration) {
	configuration.Group = slot0
	c.directory.Apply(nil, &protocol.Topology{
		Version: protocol.TopologyVersion{LeaderTerm: 1, Count: count}, Groups: []group.Configuration{configuration},
	})
}

func TestWriteConfirmedWhileNewTermHasNoPrimary(t *testing.T) {
	c := newCluster(t, 1)
	c.confirmWrite()
	c.applyConfiguration(2, group.Configuration{Term: 2})
	if err := c.entry.Confirm(c.context(), slot0, 1, c.write()); err != nil {
		t.Errorf("write received by a majority not confirmed before the new term has a primary: %v", err)
	}
	position := c.write()
	c.applyConfiguration(3, group.Configuration{Term: 2, Primary: servers[1]})
	if err := c.entry.Confirm(c.context(), slot0, 1, position); err == nil {
		t.Error("write confirmed after a newer term has a primary")
	}
}

func TestPendingWritesReportsUnconfirmedWrites(t *testing.T) {
	c := newCluster(t, 1)
	position := c.write()
	done := make(chan error, 1)
	go func() { done <- c.entry.Confirm(c.context(), slot0, 1, position+1) }()
	waitFor(t, func() bool {
		reported := false
		c.entry.PendingWrites(func(id group.ID, term group.Term) { reported = reported || id == slot0 && term == 1 })
		return reported
	})
	c.write()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

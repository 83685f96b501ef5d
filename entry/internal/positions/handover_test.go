package positions_test

import (
	"testing"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/protocol"
)

// announce lets the directory know of a newer configuration of slot 0.
func (w *world) announce(count uint64, configuration group.Configuration) {
	configuration.Group = slot0
	w.directory.Apply(nil, &protocol.Topology{
		Version: protocol.TopologyVersion{LeaderTerm: 1, Count: count}, Groups: []group.Configuration{configuration},
	})
}

func TestWriteIsConfirmedWhileANewTermHasNoPrimaryYet(t *testing.T) {
	w := newWorld(t, 1)
	w.confirmed()
	w.announce(2, group.Configuration{Term: 2})
	if err := w.asker.Confirm(w.context(), slot0, 1, w.write()); err != nil {
		t.Errorf("a write that a majority holds before any promise is not confirmed: %v", err)
	}
	position := w.write()
	w.announce(3, group.Configuration{Term: 2, Primary: servers[1]})
	if err := w.asker.Confirm(w.context(), slot0, 1, position); err == nil {
		t.Error("a write of a replaced primary is confirmed")
	}
}

func TestWritesThatWaitForTheirMajorityAreTold(t *testing.T) {
	w := newWorld(t, 1)
	position := w.write()
	done := make(chan error, 1)
	go func() { done <- w.asker.Confirm(w.context(), slot0, 1, position+1) }()
	await(t, func() bool {
		told := false
		w.asker.PendingWrites(func(id group.ID, term group.Term) { told = told || id == slot0 && term == 1 })
		return told
	})
	w.write()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

package replica

import (
	"errors"
	"fmt"

	"lentilwind.dev/control/internal/settings"
	"lentilwind.dev/control/internal/storage"
	"lentilwind.dev/lentilwind/catalog"
	"lentilwind.dev/lentilwind/journal"
)

// Restore fills an empty data folder with a snapshot, of which this process becomes the only member.
func Restore(s *settings.Settings, file string, data []byte) (journal.Snapshot, error) {
	snapshot, err := storage.DecodeSnapshot(file, data)
	if err != nil {
		return snapshot, err
	}
	if _, err := catalog.Restore(snapshot.Data); err != nil {
		return snapshot, fmt.Errorf("replica: %w", err)
	}
	store, persisted, err := storage.Open(s.DataFolder, s.Name)
	if err != nil {
		return snapshot, err
	}
	if persisted.HardState.Term != 0 || persisted.Snapshot.Index != 0 || len(persisted.Entries) != 0 {
		return snapshot, errors.Join(fmt.Errorf("replica: %s is in use; empty it or choose another folder", s.DataFolder), store.Close())
	}
	self := store.Identity().Member
	snapshot.Membership = journal.Membership{Members: []journal.Member{{
		ID: self, Name: s.Name, Address: s.PeersAddress(), Operators: s.OperatorsAddress(),
	}}}
	store.Save(journal.Save{HardState: journal.HardState{Term: snapshot.Term, Vote: self}})
	return snapshot, errors.Join(store.SaveSnapshot(journal.SaveSnapshot{Snapshot: snapshot}), store.Close())
}

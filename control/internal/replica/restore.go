package replica

import (
	"errors"
	"fmt"

	"lentilwind.dev/control/internal/settings"
	"lentilwind.dev/control/internal/storage"
	"lentilwind.dev/lentilwind/catalog"
	"lentilwind.dev/lentilwind/journal"
)

// Increments that take a restored state past revisions and terms that may have been assigned after it was saved.
const (
	skippedRevisions = 1_000_000
	skippedTerms     = 1_000_000
)

// Restore initializes an empty data folder from a snapshot, with this process as the only member.
func Restore(s *settings.Settings, file string, data []byte) (journal.Snapshot, error) {
	snapshot, err := storage.DecodeSnapshot(file, data)
	if err != nil {
		return snapshot, err
	}
	if snapshot.Data, err = skipRevisions(snapshot.Data); err != nil {
		return snapshot, err
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
		ID: self, Name: s.Name, Address: s.AdvertisedPeerAddress(), OperatorAddress: s.AdvertisedOperatorAddress(),
	}}}
	store.Save(journal.Save{HardState: journal.HardState{Term: snapshot.Term + skippedTerms, Vote: self}})
	return snapshot, errors.Join(store.SaveSnapshot(journal.SaveSnapshot{Snapshot: snapshot}), store.Close())
}

// skipRevisions advances a saved state past the revisions that may have been accepted after it was saved.
func skipRevisions(data []byte) ([]byte, error) {
	state, err := catalog.Restore(data)
	if err != nil {
		return nil, fmt.Errorf("replica: %w", err)
	}
	data, err = state.SkipRevisions(skippedRevisions).Snapshot()
	if err != nil {
		return nil, fmt.Errorf("replica: %w", err)
	}
	return data, nil
}

package storage_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lentilwind.dev/control/internal/storage"
	"lentilwind.dev/lentilwind/journal"
)

const journalFile = "journal-0000000000000001"

func entry(index, term int, text string) journal.Entry {
	return journal.Entry{Index: journal.Index(index), Term: journal.Term(term), Kind: journal.EntryCommand, Data: []byte(text)}
}

func open(t *testing.T, dir string) (*storage.Store, journal.Persisted) {
	t.Helper()
	store, persisted, err := storage.Open(dir, "control-1")
	if err != nil {
		t.Fatal(err)
	}
	return store, persisted
}

func closeStore(t *testing.T, store *storage.Store) {
	t.Helper()
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
}

// newFilledFolder saves three batches, the last of which replaces an entry, and returns the data folder.
func newFilledFolder(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	store, _ := open(t, dir)
	for _, save := range []journal.Save{
		{HardState: journal.HardState{Term: 1, Vote: 7}, Entries: []journal.Entry{entry(1, 1, "a"), entry(2, 1, "b")}},
		{HardState: journal.HardState{Term: 2}},
		{HardState: journal.HardState{Term: 2, Vote: 9}, Entries: []journal.Entry{entry(2, 2, "c")}},
	} {
		store.Save(save)
		if err := store.Sync(); err != nil {
			t.Fatal(err)
		}
	}
	closeStore(t, store)
	return dir
}

func TestReopenRestoresSyncedState(t *testing.T) {
	dir := newFilledFolder(t)
	store, persisted := open(t, dir)
	defer closeStore(t, store)
	want := journal.Persisted{
		HardState: journal.HardState{Term: 2, Vote: 9},
		Entries:   []journal.Entry{entry(1, 1, "a"), entry(2, 2, "c")},
	}
	if diff := cmp.Diff(want, persisted); diff != "" {
		t.Error(diff)
	}
	if _, _, err := storage.Open(dir, "control-1"); err == nil {
		t.Error("the folder was opened a second time while locked")
	}
}

func TestSaveSnapshotReplacesJournal(t *testing.T) {
	dir := newFilledFolder(t)
	store, _ := open(t, dir)
	snapshot := journal.Snapshot{Index: 1, Term: 1, Data: []byte("state")}
	err := store.SaveSnapshot(journal.SaveSnapshot{Snapshot: snapshot, Entries: []journal.Entry{entry(2, 2, "c")}})
	if err != nil {
		t.Fatal(err)
	}
	store.Save(journal.Save{HardState: journal.HardState{Term: 3}, Entries: []journal.Entry{entry(3, 3, "d")}})
	if err := store.Sync(); err != nil {
		t.Fatal(err)
	}
	closeStore(t, store)
	store, persisted := open(t, dir)
	defer closeStore(t, store)
	want := journal.Persisted{
		HardState: journal.HardState{Term: 3}, Snapshot: snapshot,
		Entries: []journal.Entry{entry(2, 2, "c"), entry(3, 3, "d")},
	}
	if diff := cmp.Diff(want, persisted); diff != "" {
		t.Error(diff)
	}
	if _, err := os.Stat(filepath.Join(dir, journalFile)); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the old journal still exists: %v", err)
	}
}

func TestEmptiedFolderGetsNewMemberID(t *testing.T) {
	dir := newFilledFolder(t)
	store, _ := open(t, dir)
	before := store.Identity()
	closeStore(t, store)
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	store, persisted := open(t, dir)
	defer closeStore(t, store)
	if store.Identity().Member == before.Member || persisted.HardState.Term != 0 {
		t.Errorf("the emptied folder kept the identity or state of member %d", before.Member)
	}
}

func TestTruncatedJournalLosesOnlyInterruptedWrites(t *testing.T) {
	dir := newFilledFolder(t)
	path := filepath.Join(dir, journalFile)
	original, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	previous := -1
	for size := len(original); size > 120; size-- {
		if err := os.WriteFile(path, original[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		store, persisted, err := storage.Open(dir, "control-1")
		if err != nil {
			t.Fatalf("truncated to %d bytes: %v", size, err)
		}
		closeStore(t, store)
		recovered := int(persisted.HardState.Term)*10 + len(persisted.Entries)
		if previous >= 0 && recovered > previous {
			t.Fatalf("truncated to %d bytes: more state was recovered than from a longer file", size)
		}
		previous = recovered
	}
}

func TestFlippedByteIsReportedAsCorruption(t *testing.T) {
	dir := newFilledFolder(t)
	path := filepath.Join(dir, journalFile)
	original, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for offset := range original {
		damaged := bytes.Clone(original)
		damaged[offset] ^= 0x10
		if err := os.WriteFile(path, damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		store, persisted, err := storage.Open(dir, "control-1")
		var corruption *storage.CorruptionError
		switch {
		case errors.As(err, &corruption) && corruption.File == path:
			continue
		case err != nil:
			t.Fatalf("byte %d: %v", offset, err)
		}
		closeStore(t, store)
		if persisted.HardState.Vote == 9 || offset < len(original)-80 {
			t.Errorf("byte %d: the damage was not detected", offset)
		}
	}
}

func FuzzReadFrames(f *testing.F) {
	encoded, err := storage.EncodeSnapshot(journal.Snapshot{Index: 3, Data: []byte("state")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded, []byte{1, 2, 3})
	f.Add([]byte{0, 0, 0, 1, 0, 0, 0, 0, 0}, []byte{})
	f.Fuzz(func(t *testing.T, before, tail []byte) {
		data := append(bytes.Clone(before), tail...)
		payloadBytes := 0
		validBytes, err := storage.ReadFrames("file", data, func(payload []byte) error {
			payloadBytes += len(payload)
			return nil
		})
		if err == nil && (validBytes < int64(payloadBytes) || validBytes > int64(len(data))) {
			t.Errorf("%d of %d bytes are valid, with %d bytes of payload", validBytes, len(data), payloadBytes)
		}
	})
}

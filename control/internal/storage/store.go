package storage

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/journal"
	"lentilwind.dev/lentilwind/protocol"
)

// layoutVersion is the version of the file format.
const layoutVersion = 1

// header is the first record of a journal file.
type header struct {
	Version  uint64           `cbor:"1,keyasint"`
	Member   journal.MemberID `cbor:"2,keyasint"`
	Snapshot journal.Index    `cbor:"3,keyasint"`
}

// batch is one save; a record holds all batches of one sync.
type batch struct {
	Header    *header            `cbor:"1,keyasint,omitempty"`
	HardState *journal.HardState `cbor:"2,keyasint,omitempty"`
	Entries   []journal.Entry    `cbor:"3,keyasint,omitempty"`
}

// Store is an open data folder; after an error from Sync or SaveSnapshot it must not be used again.
type Store struct {
	dir        string
	lock       *os.File
	identity   Identity
	generation uint64
	snapshot   journal.Index
	journal    *os.File
	hardState  journal.HardState
	pending    []batch
}

// Open opens a data folder and returns its persisted state; an empty or missing folder is initialized with a new identity.
func Open(dir string, name inventory.InstanceName) (*Store, journal.Persisted, error) {
	return OpenWithMember(dir, name, 0)
}

// OpenWithMember is Open with the member id for an empty folder; 0 generates a random one.
func OpenWithMember(dir string, name inventory.InstanceName, member journal.MemberID) (*Store, journal.Persisted, error) {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return nil, journal.Persisted{}, fmt.Errorf("storage: %w", err)
	}
	lock, err := lockFolder(dir)
	if err != nil {
		return nil, journal.Persisted{}, err
	}
	s := &Store{dir: dir, lock: lock}
	persisted, err := s.load(name, member)
	if err != nil {
		return nil, journal.Persisted{}, errors.Join(err, s.Close())
	}
	return s, persisted, nil
}

func (s *Store) load(name inventory.InstanceName, member journal.MemberID) (journal.Persisted, error) {
	identity, exists, err := readIdentity(s.dir)
	if err != nil {
		return journal.Persisted{}, err
	}
	generations, err := numberedFiles(s.dir, journalPrefix)
	if err != nil {
		return journal.Persisted{}, err
	}
	if !exists {
		return journal.Persisted{}, s.create(name, member, generations)
	}
	if identity.Name != name {
		return journal.Persisted{}, fmt.Errorf("storage: %s belongs to instance %q, not %q", s.dir, identity.Name, name)
	}
	if len(generations) == 0 {
		return journal.Persisted{}, &CorruptionError{File: filepath.Join(s.dir, journalPrefix+"*"), Reason: "the journal is missing"}
	}
	s.identity = identity
	s.generation = generations[len(generations)-1]
	return s.readJournal()
}

// create writes an empty journal first and the identity last, so that a folder with an identity always has a journal.
func (s *Store) create(name inventory.InstanceName, member journal.MemberID, generations []uint64) error {
	if len(generations) > 1 || len(generations) == 1 && generations[0] > 1 {
		return &CorruptionError{File: filepath.Join(s.dir, identityFile), Reason: "it is missing beside a journal"}
	}
	if member == 0 {
		generated, err := newMemberID()
		if err != nil {
			return err
		}
		member = generated
	}
	s.identity = Identity{Member: member, Name: name}
	if err := s.createJournal(1, 0, nil); err != nil {
		return err
	}
	return writeIdentity(s.dir, s.identity)
}

// Identity returns the member and instance that the folder is bound to.
func (s *Store) Identity() Identity { return s.identity }

// Save adds hard state and entries to the next sync; they are durable after Sync.
func (s *Store) Save(save journal.Save) {
	b := batch{Entries: save.Entries}
	if save.HardState != s.hardState {
		s.hardState = save.HardState
		b.HardState = &save.HardState
	}
	if b.HardState != nil || len(b.Entries) > 0 {
		s.pending = append(s.pending, b)
	}
}

// Sync writes everything that was saved in one record and syncs the file, so that an interruption can damage only the last record.
func (s *Store) Sync() error {
	if len(s.pending) == 0 {
		return nil
	}
	payload, err := protocol.Encode(s.pending)
	if err != nil {
		return fmt.Errorf("storage: %w", err)
	}
	if len(payload) > maxFrameBytes {
		return fmt.Errorf("storage: a record of %d bytes is too large", len(payload))
	}
	s.pending = nil
	if _, err := s.journal.Write(appendFrame(nil, payload)); err != nil {
		return fmt.Errorf("storage: %w", err)
	}
	if err := s.journal.Sync(); err != nil {
		return fmt.Errorf("storage: %w", err)
	}
	return nil
}

// SaveSnapshot makes a snapshot durable and starts a new journal that holds only the entries after it.
func (s *Store) SaveSnapshot(save journal.SaveSnapshot) error {
	data, err := EncodeSnapshot(save.Snapshot)
	if err != nil {
		return err
	}
	path := filepath.Join(s.dir, numberedName(snapshotPrefix, uint64(save.Snapshot.Index)))
	if err := writeDurably(path, data); err != nil {
		return err
	}
	s.pending = nil
	if err := s.createJournal(s.generation+1, save.Snapshot.Index, save.Entries); err != nil {
		return err
	}
	return s.removeObsolete()
}

// createJournal atomically creates a journal file, which becomes the current one, and opens it for appending.
func (s *Store) createJournal(generation uint64, snapshot journal.Index, entries []journal.Entry) error {
	initial := batch{
		Header:    &header{Version: layoutVersion, Member: s.identity.Member, Snapshot: snapshot},
		HardState: &s.hardState, Entries: entries,
	}
	payload, err := protocol.Encode([]batch{initial})
	if err != nil {
		return fmt.Errorf("storage: %w", err)
	}
	path := filepath.Join(s.dir, numberedName(journalPrefix, generation))
	if err := writeDurably(path, appendFrame(nil, payload)); err != nil {
		return err
	}
	if s.journal != nil {
		if err := s.journal.Close(); err != nil {
			return fmt.Errorf("storage: %w", err)
		}
	}
	s.generation, s.snapshot = generation, snapshot
	return s.openJournal(path)
}

func (s *Store) openJournal(path string) error {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("storage: %w", err)
	}
	s.journal = file
	return nil
}

// removeObsolete deletes the journals and snapshots that the current journal does not need.
func (s *Store) removeObsolete() error {
	return errors.Join(
		s.removeAllExcept(journalPrefix, s.generation),
		s.removeAllExcept(snapshotPrefix, uint64(s.snapshot)),
	)
}

func (s *Store) removeAllExcept(prefix string, kept uint64) error {
	numbers, err := numberedFiles(s.dir, prefix)
	if err != nil {
		return err
	}
	for _, number := range numbers {
		if number == kept {
			continue
		}
		if err := os.Remove(filepath.Join(s.dir, numberedName(prefix, number))); err != nil {
			return fmt.Errorf("storage: %w", err)
		}
	}
	return nil
}

// Close closes the journal and releases the lock on the folder.
func (s *Store) Close() error {
	var err error
	if s.journal != nil {
		err = s.journal.Close()
	}
	return errors.Join(err, s.lock.Close())
}

package storage

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"lentilwind.dev/lentilwind/journal"
	"lentilwind.dev/lentilwind/protocol"
)

// EncodeSnapshot returns a snapshot as it stands in a file.
func EncodeSnapshot(snapshot journal.Snapshot) ([]byte, error) {
	payload, err := protocol.Encode(snapshot)
	if err != nil {
		return nil, fmt.Errorf("storage: %w", err)
	}
	return appendFrame(nil, payload), nil
}

// DecodeSnapshot reads a snapshot from the bytes of a file.
func DecodeSnapshot(file string, data []byte) (journal.Snapshot, error) {
	var snapshot journal.Snapshot
	payload, ok := nextFrame(data)
	if !ok || len(payload)+headerBytes != len(data) {
		return snapshot, &CorruptionError{File: file, Reason: "the checksum of the snapshot does not match"}
	}
	if err := protocol.Decode(payload, &snapshot); err != nil {
		return snapshot, &CorruptionError{File: file, Reason: err.Error()}
	}
	return snapshot, nil
}

// read reads the current journal and its snapshot and cuts off an interrupted write.
func (s *Store) read() (journal.Persisted, error) {
	path := filepath.Join(s.dir, numberedName(journalPrefix, s.generation))
	data, err := os.ReadFile(path)
	if err != nil {
		return journal.Persisted{}, fmt.Errorf("storage: %w", err)
	}
	r := &reader{member: s.identity.Member, dir: s.dir}
	sound, err := ReadFrames(path, data, r.take)
	if err != nil {
		return journal.Persisted{}, err
	}
	if !r.begun {
		return journal.Persisted{}, &CorruptionError{File: path, Reason: "it has no header"}
	}
	if err := s.openJournal(path); err != nil {
		return journal.Persisted{}, err
	}
	if sound < int64(len(data)) {
		if err := s.cutTail(sound); err != nil {
			return journal.Persisted{}, err
		}
	}
	s.hard, s.snapshot = r.persisted.HardState, r.persisted.Snapshot.Index
	return r.persisted, s.removeOld()
}

func (s *Store) cutTail(sound int64) error {
	if err := errors.Join(s.journal.Truncate(sound), s.journal.Sync()); err != nil {
		return fmt.Errorf("storage: %w", err)
	}
	return nil
}

// reader gathers the records of one journal file.
type reader struct {
	dir       string
	member    journal.MemberID
	begun     bool
	persisted journal.Persisted
}

func (r *reader) take(payload []byte) error {
	var batches []batch
	if err := protocol.Decode(payload, &batches); err != nil {
		return err
	}
	for _, b := range batches {
		if err := r.takeBatch(b); err != nil {
			return err
		}
	}
	return nil
}

func (r *reader) takeBatch(b batch) error {
	if r.begun == (b.Header != nil) {
		return errors.New("the header is not the first record")
	}
	if b.Header != nil {
		if err := r.begin(*b.Header); err != nil {
			return err
		}
	}
	if b.HardState != nil {
		r.persisted.HardState = *b.HardState
	}
	for _, entry := range b.Entries {
		if err := r.add(entry); err != nil {
			return err
		}
	}
	return nil
}

func (r *reader) begin(h header) error {
	r.begun = true
	if h.Version != layoutVersion {
		return fmt.Errorf("layout version %d, this build reads %d", h.Version, layoutVersion)
	}
	if h.Member != r.member {
		return fmt.Errorf("it belongs to member %d, the folder to member %d", h.Member, r.member)
	}
	if h.Snapshot == 0 {
		return nil
	}
	path := filepath.Join(r.dir, numberedName(snapshotPrefix, uint64(h.Snapshot)))
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("its snapshot %s is missing", path)
	}
	if err != nil {
		return err
	}
	r.persisted.Snapshot, err = DecodeSnapshot(path, data)
	return err
}

// add appends an entry or lets it replace the end of the journal.
func (r *reader) add(entry journal.Entry) error {
	first := r.persisted.Snapshot.Index + 1
	if entry.Index < first || entry.Index > first+journal.Index(len(r.persisted.Entries)) {
		return fmt.Errorf("entry %d does not follow the ones before", entry.Index)
	}
	r.persisted.Entries = append(r.persisted.Entries[:entry.Index-first], entry)
	return nil
}

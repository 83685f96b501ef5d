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

// EncodeSnapshot returns the file contents for a snapshot.
func EncodeSnapshot(snapshot journal.Snapshot) ([]byte, error) {
	payload, err := protocol.Encode(snapshot)
	if err != nil {
		return nil, fmt.Errorf("storage: %w", err)
	}
	return appendFrame(nil, payload), nil
}

// DecodeSnapshot decodes the contents of a snapshot file; file is the name used in errors.
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

// readJournal reads the current journal and its snapshot, and truncates an interrupted write.
func (s *Store) readJournal() (journal.Persisted, error) {
	path := filepath.Join(s.dir, numberedName(journalPrefix, s.generation))
	data, err := os.ReadFile(path)
	if err != nil {
		return journal.Persisted{}, fmt.Errorf("storage: %w", err)
	}
	r := &journalReader{member: s.identity.Member, dir: s.dir}
	validBytes, err := ReadFrames(path, data, r.addPayload)
	if err != nil {
		return journal.Persisted{}, err
	}
	if !r.headerRead {
		return journal.Persisted{}, &CorruptionError{File: path, Reason: "it has no header"}
	}
	if err := s.openJournal(path); err != nil {
		return journal.Persisted{}, err
	}
	if validBytes < int64(len(data)) {
		if err := s.truncateJournal(validBytes); err != nil {
			return journal.Persisted{}, err
		}
	}
	s.hardState, s.snapshot = r.persisted.HardState, r.persisted.Snapshot.Index
	return r.persisted, s.removeObsolete()
}

func (s *Store) truncateJournal(validBytes int64) error {
	if err := errors.Join(s.journal.Truncate(validBytes), s.journal.Sync()); err != nil {
		return fmt.Errorf("storage: %w", err)
	}
	return nil
}

// journalReader builds the persisted state from the records of one journal file.
type journalReader struct {
	dir        string
	member     journal.MemberID
	headerRead bool
	persisted  journal.Persisted
}

func (r *journalReader) addPayload(payload []byte) error {
	var batches []batch
	if err := protocol.Decode(payload, &batches); err != nil {
		return err
	}
	for _, b := range batches {
		if err := r.addBatch(b); err != nil {
			return err
		}
	}
	return nil
}

func (r *journalReader) addBatch(b batch) error {
	if r.headerRead == (b.Header != nil) {
		return errors.New("the header is not the first record")
	}
	if b.Header != nil {
		if err := r.readHeader(*b.Header); err != nil {
			return err
		}
	}
	if b.HardState != nil {
		r.persisted.HardState = *b.HardState
	}
	for _, entry := range b.Entries {
		if err := r.addEntry(entry); err != nil {
			return err
		}
	}
	return nil
}

func (r *journalReader) readHeader(h header) error {
	r.headerRead = true
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

// addEntry appends an entry, after dropping the entries from its index on.
func (r *journalReader) addEntry(entry journal.Entry) error {
	first := r.persisted.Snapshot.Index + 1
	if entry.Index < first || entry.Index > first+journal.Index(len(r.persisted.Entries)) {
		return fmt.Errorf("entry %d does not follow the ones before", entry.Index)
	}
	r.persisted.Entries = append(r.persisted.Entries[:entry.Index-first], entry)
	return nil
}

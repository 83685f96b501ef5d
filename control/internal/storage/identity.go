package storage

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/journal"
)

const (
	identityFile = "identity.json"
	lockFile     = "lock"
)

// Identity binds a data folder to one member; a folder that was emptied gets a new member id.
type Identity struct {
	Member journal.MemberID       `json:"member"`
	Name   inventory.InstanceName `json:"name"`
}

// newMemberID returns a random id, which is in use already with negligible probability only.
func newMemberID() (journal.MemberID, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return 0, fmt.Errorf("storage: %w", err)
	}
	return journal.MemberID(binary.BigEndian.Uint64(random[:])>>1 | 1), nil
}

// readIdentity returns the identity of a folder, and false if the folder has none yet.
func readIdentity(dir string) (Identity, bool, error) {
	path := filepath.Join(dir, identityFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return Identity{}, false, nil
	}
	if err != nil {
		return Identity{}, false, fmt.Errorf("storage: %w", err)
	}
	var identity Identity
	if err := json.Unmarshal(data, &identity); err != nil || identity.Member == 0 {
		return Identity{}, false, &CorruptionError{File: path, Reason: "it names no member"}
	}
	return identity, true, nil
}

func writeIdentity(dir string, identity Identity) error {
	data, err := json.Marshal(identity)
	if err != nil {
		return fmt.Errorf("storage: %w", err)
	}
	return writeDurably(filepath.Join(dir, identityFile), append(data, '\n'))
}

// lockFolder locks the folder against other processes until the returned file is closed.
func lockFolder(dir string) (*os.File, error) {
	file, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("storage: %w", err)
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("storage: another process uses %s: %w", dir, err), file.Close())
	}
	return file, nil
}

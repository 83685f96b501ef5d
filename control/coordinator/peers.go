package coordinator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
)

// peersFile stores the addresses of the control processes learned from the last registration.
//
// The seeds in the settings may all be non-members, which don't know any member after a restart of all processes.
const peersFile = "contacts.json"

// loadKnownPeers reads the peer addresses saved before the restart; a missing file is not an error.
func (c *Coordinator) loadKnownPeers() {
	data, err := os.ReadFile(filepath.Join(c.cfg.DataFolder, peersFile))
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var addresses []string
	if err == nil {
		err = json.Unmarshal(data, &addresses)
	}
	if err != nil {
		c.cfg.Log.Warn().Err(err).Msg("contactsUnreadable")
		return
	}
	c.savedPeers.Store(&addresses)
}

// saveKnownPeers writes the known addresses to the data folder if there is a new one among them. The former ones are dropped only then, so a
// process that is away for a moment costs no write to the disk of the journal.
func (c *Coordinator) saveKnownPeers(addresses []string) {
	c.savePeersMu.Lock()
	defer c.savePeersMu.Unlock()
	addresses = slices.Sorted(slices.Values(addresses))
	if saved := c.savedPeers.Load(); saved != nil && containsAll(*saved, addresses) {
		return
	}
	c.savedPeers.Store(&addresses)
	if err := writePeersFile(filepath.Join(c.cfg.DataFolder, peersFile), addresses); err != nil {
		c.cfg.Log.Warn().Err(err).Msg("contactsNotKept")
	}
}

func containsAll(all, some []string) bool {
	return !slices.ContainsFunc(some, func(address string) bool { return !slices.Contains(all, address) })
}

func writePeersFile(path string, addresses []string) error {
	data, err := json.Marshal(addresses)
	if err != nil {
		return fmt.Errorf("coordinator: contacts: %w", err)
	}
	next := path + ".next"
	file, err := os.Create(next)
	if err != nil {
		return fmt.Errorf("coordinator: contacts: %w", err)
	}
	_, err = file.Write(data)
	if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
		return fmt.Errorf("coordinator: contacts: %w", err)
	}
	if err := os.Rename(next, path); err != nil {
		return fmt.Errorf("coordinator: contacts: %w", err)
	}
	// Without this a power loss may undo the rename.
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return fmt.Errorf("coordinator: contacts: %w", err)
	}
	if err := errors.Join(folder.Sync(), folder.Close()); err != nil {
		return fmt.Errorf("coordinator: contacts: %w", err)
	}
	return nil
}

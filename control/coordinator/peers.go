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

// contactsFile holds the addresses of the control processes that were known last.
//
// The settings may name only processes that are no members, which know no member either after a restart of all.
const contactsFile = "contacts.json"

// loadContacts reads the addresses that were known before the restart; none is no failure.
func (c *Coordinator) loadContacts() {
	data, err := os.ReadFile(filepath.Join(c.cfg.DataFolder, contactsFile))
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
	c.contacts.Store(&addresses)
}

// keepContacts writes the known addresses down when they have changed.
func (c *Coordinator) keepContacts(addresses []string) {
	addresses = slices.Sorted(slices.Values(addresses))
	if kept := c.contacts.Load(); kept != nil && slices.Equal(*kept, addresses) {
		return
	}
	c.contacts.Store(&addresses)
	if err := writeContacts(filepath.Join(c.cfg.DataFolder, contactsFile), addresses); err != nil {
		c.cfg.Log.Warn().Err(err).Msg("contactsNotKept")
	}
}

func writeContacts(path string, addresses []string) error {
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
	return nil
}

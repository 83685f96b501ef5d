package document

import (
	"encoding/json"
	"fmt"

	"github.com/tailscale/hujson"

	"lentilwind.dev/lentilctl/internal/failure"
	"lentilwind.dev/lentilwind/inventory"
)

// Document holds the syntax tree of an inventory's text and the parsed inventory.
type Document struct {
	root hujson.Value
	inv  *inventory.Inventory
}

// Parse parses and validates the text of an inventory.
func Parse(data []byte) (*Document, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, fmt.Errorf("document: %w", err)
	}
	inv, err := inventory.Read(data)
	if err != nil {
		return nil, err
	}
	return &Document{root: root, inv: inv}, nil
}

// Bytes returns the edited text.
func (d *Document) Bytes() []byte { return d.root.Pack() }

// AddKey adds a key to a workspace.
func (d *Document) AddKey(name inventory.WorkspaceName, key inventory.Key) error {
	i, workspace, err := d.workspace(name)
	if err != nil {
		return err
	}
	for _, existing := range workspace.Keys {
		if existing.ID == key.ID {
			return refusedf("workspace %q already has a key %q; choose another id", name, key.ID)
		}
	}
	pointer := fmt.Sprintf("/workspaces/%d/keys", i)
	if d.root.Find(pointer) == nil {
		return d.patch("add", pointer, []inventory.Key{key})
	}
	return d.patch("add", pointer+"/-", key)
}

// RemoveKey removes a key from a workspace.
func (d *Document) RemoveKey(name inventory.WorkspaceName, id inventory.KeyID) error {
	i, workspace, err := d.workspace(name)
	if err != nil {
		return err
	}
	for j, key := range workspace.Keys {
		if key.ID == id {
			return d.patch("remove", fmt.Sprintf("/workspaces/%d/keys/%d", i, j), nil)
		}
	}
	return refusedf("workspace %q has no key %q; \"lentilctl inventory show\" lists the ids", name, id)
}

// workspace returns a workspace with its index in the inventory.
func (d *Document) workspace(name inventory.WorkspaceName) (int, inventory.Workspace, error) {
	for i, w := range d.inv.Workspaces {
		if w.Name == name {
			return i, w, nil
		}
	}
	return 0, inventory.Workspace{}, refusedf("the inventory has no workspace %q", name)
}

// patch applies one JSON Patch operation to the text.
func (d *Document) patch(operation, pointer string, value any) error {
	patch, err := json.Marshal([]struct {
		Op    string `json:"op"`
		Path  string `json:"path"`
		Value any    `json:"value,omitempty"`
	}{{operation, pointer, value}})
	if err != nil {
		return fmt.Errorf("document: %w", err)
	}
	if err := d.root.Patch(patch); err != nil {
		return fmt.Errorf("document: %w", err)
	}
	return nil
}

func refusedf(format string, args ...any) error {
	return &failure.Error{Code: failure.CodeRefused, Err: fmt.Errorf("document: "+format, args...)}
}

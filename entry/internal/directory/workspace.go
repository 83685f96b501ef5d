package directory

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"lentilwind.dev/lentilwind/inventory"
)

// KeyHash is the SHA-256 hash of a key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key as listed in the inventory.
func HashKey(key []byte) KeyHash { return sha256.Sum256(key) }

// Workspace is a workspace of the inventory with its key hashes decoded.
type Workspace struct {
	Name   inventory.WorkspaceName
	Rate   float64
	Burst  float64
	Weight int
	keys   []workspaceKey
}

type workspaceKey struct {
	id   inventory.KeyID
	hash KeyHash
}

// FindKey returns the ID of the key with this hash. It compares the hash with every key in constant time.
func (w *Workspace) FindKey(hash KeyHash) (inventory.KeyID, bool) {
	match := -1
	for i := range w.keys {
		equal := subtle.ConstantTimeCompare(w.keys[i].hash[:], hash[:])
		match = subtle.ConstantTimeSelect(equal, i, match)
	}
	if match < 0 {
		return "", false
	}
	return w.keys[match].id, true
}

// HasKey reports whether the workspace has a key with this hash.
func (w *Workspace) HasKey(hash KeyHash) bool {
	_, found := w.FindKey(hash)
	return found
}

func newWorkspace(w inventory.Workspace) *Workspace {
	result := &Workspace{Name: w.Name, Rate: w.Rate, Burst: w.Burst, Weight: max(1, w.Weight)}
	for _, key := range w.Keys {
		raw, err := hex.DecodeString(strings.TrimPrefix(key.Hash, "sha256:"))
		if err != nil || len(raw) != sha256.Size {
			continue
		}
		result.keys = append(result.keys, workspaceKey{id: key.ID, hash: KeyHash(raw)})
	}
	return result
}

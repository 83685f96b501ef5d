package document_test

import (
	"strings"
	"testing"

	"lentilwind.dev/lentilctl/internal/document"
	"lentilwind.dev/lentilwind/inventory"
)

const inventoryText = `{
  // The florists pay on Fridays.
  "workspaces": [
    {"name": "florists", "rate": 10, "burst": 20, "keys": []},
    {"name": "stalls", "rate": 10, "burst": 20},
  ],
}`

func TestEditingKeysKeepsComments(t *testing.T) {
	hash := "sha256:" + strings.Repeat("ab", 32)
	for _, workspace := range []inventory.WorkspaceName{"florists", "stalls"} {
		doc, err := document.Parse([]byte(inventoryText))
		if err != nil {
			t.Fatal(err)
		}
		if err := doc.AddKey(workspace, inventory.Key{ID: "k1", Hash: hash}); err != nil {
			t.Fatal(err)
		}
		added := string(doc.Bytes())
		if !strings.Contains(added, hash) || !strings.Contains(added, "pay on Fridays") {
			t.Errorf("after adding: %s", added)
		}
		doc, err = document.Parse([]byte(added))
		if err != nil {
			t.Fatal(err)
		}
		if err := doc.AddKey(workspace, inventory.Key{ID: "k1", Hash: hash}); err == nil {
			t.Error("the same id was added twice")
		}
		if err := doc.RemoveKey(workspace, "k1"); err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(doc.Bytes()), hash) {
			t.Errorf("after removing: %s", doc.Bytes())
		}
	}
}

package command

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/spf13/cobra"

	"lentilwind.dev/lentilctl/internal/document"
	"lentilwind.dev/lentilctl/internal/failure"
	"lentilwind.dev/lentilctl/internal/output"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

const keyIDBytes = 6

func (a *app) key() *cobra.Command {
	return commandGroup("key", "Create and withdraw workspace keys", a.keyCreate(), a.keyWithdraw())
}

// createdKey is the printed result of creating a key. The inventory stores only the hash, so the key can't be shown again.
type createdKey struct {
	Workspace inventory.WorkspaceName `json:"workspace,omitempty"`
	ID        inventory.KeyID         `json:"id"`
	Key       string                  `json:"key"`
	Hash      string                  `json:"hash"`
	Revision  inventory.Revision      `json:"revision,omitempty"`
}

func (a *app) keyCreate() *cobra.Command {
	var workspace, id string
	var apply bool
	cmd := &cobra.Command{
		Use:   "create",
		Short: "Create a random key and show it once",
		Long: `Create a random key and show it once.

Without --apply the key is only printed; add its id and hash to the inventory by hand. With --apply it is added to the
workspace in the newest inventory; comments in the document are kept.`,
		Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if apply && workspace == "" {
				return failure.Usagef("key create --apply needs --workspace")
			}
			created := newKey(workspace, id)
			if apply {
				revision, err := a.editInventory(cmd, func(doc *document.Document) error {
					return doc.AddKey(created.Workspace, inventory.Key{ID: created.ID, Hash: created.Hash})
				})
				if err != nil {
					return err
				}
				created.Revision = revision
			}
			return a.printer.Print(created, output.Table{Rows: [][]string{
				{"workspace", string(created.Workspace)},
				{"id", string(created.ID)},
				{"key", created.Key},
				{"hash", created.Hash},
			}})
		},
	}
	cmd.Flags().StringVar(&workspace, "workspace", "", "workspace that gets the key")
	cmd.Flags().StringVar(&id, "id", "", "id of the key; a random one by default")
	cmd.Flags().BoolVar(&apply, "apply", false, "add the key to the newest inventory")
	return cmd
}

func newKey(workspace, id string) createdKey {
	if id == "" {
		raw := make([]byte, keyIDBytes)
		_, _ = rand.Read(raw)
		id = "k" + hex.EncodeToString(raw)
	}
	key := "lw-" + rand.Text()
	sum := sha256.Sum256([]byte(key))
	return createdKey{
		Workspace: inventory.WorkspaceName(workspace),
		ID:        inventory.KeyID(id),
		Key:       key,
		Hash:      "sha256:" + hex.EncodeToString(sum[:]),
	}
}

func (a *app) keyWithdraw() *cobra.Command {
	var workspace, id string
	cmd := &cobra.Command{
		Use:   "withdraw --workspace NAME --id ID",
		Short: "Remove a key from the newest inventory and wait until no entry accepts it",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if workspace == "" || id == "" {
				return failure.Usagef("key withdraw needs --workspace and --id")
			}
			revision, err := a.editInventory(cmd, func(doc *document.Document) error {
				return doc.RemoveKey(inventory.WorkspaceName(workspace), inventory.KeyID(id))
			})
			if err != nil {
				return err
			}
			return a.printer.Print(struct {
				ID       string             `json:"id"`
				Revision inventory.Revision `json:"revision"`
			}{id, revision}, output.Table{Rows: [][]string{
				{"withdrawn", id},
				{"in force since revision", fmt.Sprint(revision)},
			}})
		},
	}
	cmd.Flags().StringVar(&workspace, "workspace", "", "workspace that holds the key")
	cmd.Flags().StringVar(&id, "id", "", "id of the key")
	return cmd
}

// editInventory edits the newest inventory document, applies it and waits until it is in force.
func (a *app) editInventory(cmd *cobra.Command, edit func(*document.Document) error) (inventory.Revision, error) {
	ctx, cancel, c, err := a.connect(cmd.Context())
	if err != nil {
		return 0, err
	}
	defer cancel()
	current, err := c.Inventory(ctx)
	if err != nil {
		return 0, err
	}
	doc, err := document.Parse([]byte(current.Document))
	if err != nil {
		return 0, err
	}
	if err := edit(doc); err != nil {
		return 0, err
	}
	record, err := c.Apply(ctx, protocol.ApplyInventory{
		Operation: operationIDOrNew(""), Base: current.Revision, Document: string(doc.Bytes()),
	})
	if err != nil {
		return 0, err
	}
	status, err := c.WaitInForce(ctx, record.Revision)
	if err != nil {
		return record.Revision, err
	}
	if !status.InForce {
		return record.Revision, &failure.Error{
			Code: failure.CodeNotInForce,
			Err:  fmt.Errorf("revision %d is accepted but not yet in force; waiting for %v", record.Revision, status.WaitingFor),
		}
	}
	return record.Revision, nil
}

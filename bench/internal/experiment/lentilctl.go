package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"lentilwind.dev/bench/fleet"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

var errNoKey = errors.New("experiment: the workspace has no key")

// withdrawKey switches a workspace to its spare API key and withdraws the old one, which a client keeps using until it is
// refused.
func (e *experiment) withdrawKey(ctx context.Context, f PlannedFault) (string, repairFunc, error) {
	old, found := e.fleet.Keys[f.Workspace]
	if !found {
		return string(f.Workspace), nil, errNoKey
	}
	id := string(old.ID)
	e.generator.SetAPIKey(f.Workspace, e.spareKeys[f.Workspace].Key)
	e.withdrawnKeyClients.Go(func() { e.generator.ReadUntilKeyRefused(ctx, f.Workspace, old.ID, old.Key) })
	_, err := e.fleet.RunLentilctl(ctx, "key", "withdraw", "--workspace", string(f.Workspace), "--id", id)
	return id, nil, err
}

// createSpareKeys creates a second API key for each workspace whose first one will be withdrawn.
func (e *experiment) createSpareKeys(ctx context.Context) error {
	e.spareKeys = make(map[inventory.WorkspaceName]fleet.Key)
	if e.Plan == nil {
		return nil
	}
	for _, f := range e.Plan.Faults {
		if f.Kind != FaultWithdrawKey {
			continue
		}
		out, err := e.fleet.RunLentilctl(ctx, "key", "create", "--workspace", string(f.Workspace), "--apply")
		if err != nil {
			return err
		}
		var created struct {
			ID  inventory.KeyID `json:"id"`
			Key string          `json:"key"`
		}
		if err := json.Unmarshal(out, &created); err != nil {
			return fmt.Errorf("experiment: lentilctl key create: %w", err)
		}
		e.spareKeys[f.Workspace] = fleet.Key{ID: created.ID, Key: created.Key}
		e.run.Keys = append(e.run.Keys, created.Key)
	}
	return nil
}

// setRouteStaleness applies an inventory with a new maximum staleness for a route.
func (e *experiment) setRouteStaleness(ctx context.Context, f PlannedFault) error {
	out, err := e.fleet.RunLentilctl(ctx, "inventory", "show")
	if err != nil {
		return err
	}
	var current protocol.InventoryRecord
	if err := json.Unmarshal(out, &current); err != nil {
		return fmt.Errorf("experiment: lentilctl inventory show: %w", err)
	}
	inv, err := inventory.Read([]byte(current.Document))
	if err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	for i := range inv.Routes {
		if inv.Routes[i].Name == f.Route {
			inv.Routes[i].MaxStaleness = f.MaxStaleness
		}
	}
	data, err := json.MarshalIndent(inv, "", "  ")
	if err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	path := filepath.Join(e.OutDir, "changed-inventory.jsonc")
	if err := os.WriteFile(path, data, 0o640); err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	_, err = e.fleet.RunLentilctl(ctx, "inventory", "apply", path, "--base", strconv.FormatUint(uint64(current.Revision), 10))
	return err
}

// findLeader returns the name of the control process that leads.
func (e *experiment) findLeader(ctx context.Context) (string, error) {
	out, err := e.fleet.RunLentilctl(ctx, "status")
	if err != nil {
		return "", err
	}
	var status protocol.FleetStatus
	if err := json.Unmarshal(out, &status); err != nil {
		return "", fmt.Errorf("experiment: lentilctl status: %w", err)
	}
	return string(status.Leader), nil
}

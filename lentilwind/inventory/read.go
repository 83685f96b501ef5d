package inventory

import (
	"fmt"

	"lentilwind.dev/lentilwind/jsonc"
)

// Read parses and validates a document; if it is refused, the error wraps a *jsonc.Error that lists every problem.
func Read(data []byte) (*Inventory, error) {
	doc, err := jsonc.Parse(data)
	if err != nil {
		return nil, fmt.Errorf("inventory: %w", err)
	}
	var inv Inventory
	if err := doc.Decode(&inv); err != nil {
		return nil, fmt.Errorf("inventory: %w", err)
	}
	inv.applyDefaults()
	if err := doc.NewError(inv.Check()); err != nil {
		return nil, fmt.Errorf("inventory: %w", err)
	}
	return &inv, nil
}

func (inv *Inventory) applyDefaults() {
	for i := range inv.Workspaces {
		w := &inv.Workspaces[i]
		if w.Weight == 0 {
			w.Weight = 1
		}
	}
	for i := range inv.Routes {
		r := &inv.Routes[i]
		if r.Priority == "" {
			r.Priority = PriorityNormal
		}
		if r.CutOff == "" {
			r.CutOff = CutOffRefuse
		}
	}
}

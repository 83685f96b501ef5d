package inventory

import (
	"fmt"

	"lentilwind.dev/lentilwind/jsonc"
)

// Read parses and validates a document; if it is refused, the error wraps a *jsonc.Error that lists every problem. A part that it lacks is empty.
func Read(data []byte) (*Inventory, error) {
	return read(data, func(*Inventory) []jsonc.Problem { return nil })
}

// ReadComplete is like Read, but refuses a document that lacks a part. It is for documents that an operator sends; those that were accepted
// before are read as they are.
func ReadComplete(data []byte) (*Inventory, error) {
	return read(data, (*Inventory).missingParts)
}

func read(data []byte, check func(*Inventory) []jsonc.Problem) (*Inventory, error) {
	doc, err := jsonc.Parse(data)
	if err != nil {
		return nil, fmt.Errorf("inventory: %w", err)
	}
	var inv Inventory
	if err := doc.Decode(&inv); err != nil {
		return nil, fmt.Errorf("inventory: %w", err)
	}
	problems := check(&inv)
	inv.applyDefaults()
	if err := doc.NewError(append(problems, inv.Check()...)); err != nil {
		return nil, fmt.Errorf("inventory: %w", err)
	}
	return &inv, nil
}

// missingParts returns a problem for each part that the document lacks. An inventory is complete: what it does not list is taken out of force,
// so a part that was forgotten or cut off must not pass for an empty one.
func (inv *Inventory) missingParts() []jsonc.Problem {
	var problems []jsonc.Problem
	for _, part := range []struct {
		name    string
		missing bool
	}{
		{"regions", inv.Regions == nil},
		{"instances", inv.Instances == nil},
		{"services", inv.Services == nil},
		{"workspaces", inv.Workspaces == nil},
		{"routes", inv.Routes == nil},
	} {
		if part.missing {
			problems = append(problems, jsonc.Problem{
				Pointer: "/" + part.name, Message: fmt.Sprintf("the inventory has no %q", part.name),
				Remedy: fmt.Sprintf("add %q, or write \"%s\": [] if there are none", part.name, part.name),
			})
		}
	}
	return problems
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

package plan

import _ "embed"

// SamplePlan is a commented fleet plan for a single machine.
//
//go:embed sample-plan.jsonc
var SamplePlan []byte

// SampleInventory is a commented inventory that matches SamplePlan.
//
//go:embed sample-inventory.jsonc
var SampleInventory []byte

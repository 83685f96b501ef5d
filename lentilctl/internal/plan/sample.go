package plan

import _ "embed"

// SamplePlan is a commented fleet plan for one machine.
//
//go:embed sample-plan.jsonc
var SamplePlan []byte

// SampleInventory is a commented inventory that fits the sample plan.
//
//go:embed sample-inventory.jsonc
var SampleInventory []byte

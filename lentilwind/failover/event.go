package failover

import (
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// Event is an input of a Machine.
type Event interface {
	apply(m *Machine, now time.Time)
}

// Member is a backend server that the inventory lists for the group.
type Member struct {
	Server     group.Server
	DataCentre inventory.DataCentre
}

// Tick lets time pass.
type Tick struct{}

// MembersChanged replaces the members of the group.
type MembersChanged struct{ Members []Member }

// Announced tells what a member last said of itself.
type Announced struct {
	Server      group.Server
	Address     string
	Incarnation protocol.Incarnation
	Leaving     bool
	Status      group.Status
}

// ServerFailed tells that a server is taken for dead until its next announcement.
type ServerFailed struct{ Server group.Server }

// Drained tells that no entry runs a transaction of an older term than this one.
type Drained struct{ Term group.Term }

// Outcome tells how an effect on a database ended.
type Outcome string

// The outcomes of effects on databases.
const (
	OutcomeDone Outcome = "done"
	// OutcomeRefused means that the member answered and did not do it.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown means that no answer came.
	OutcomeUnknown Outcome = "unknown"
)

// FenceResult answers a Fence.
type FenceResult struct {
	Server  group.Server
	Term    group.Term
	Outcome Outcome
	// Status is the member's state after the effect, also after a refusal.
	Status group.Status
}

// PromoteResult answers a Promote.
type PromoteResult struct {
	Server  group.Server
	Term    group.Term
	Outcome Outcome
	Status  group.Status
}

// FollowResult answers a Follow.
type FollowResult struct {
	Server  group.Server
	Term    group.Term
	Outcome Outcome
}

// WaitResult answers a Wait; Status tells how far the member came.
type WaitResult struct {
	Server  group.Server
	Term    group.Term
	Outcome Outcome
	Status  group.Status
}

// JournalResult answers a Journal with the configuration that is in force after it, also when another one won.
type JournalResult struct {
	// Outcome is unknown when nothing can be said of the configuration.
	Outcome Outcome
	Current group.Configuration
}

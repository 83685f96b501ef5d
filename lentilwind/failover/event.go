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

// Tick makes the machine act on the timeouts and retries that are due.
type Tick struct{}

// MembersChanged replaces the members of the group.
type MembersChanged struct{ Members []Member }

// Announced reports the last announcement of a member.
type Announced struct {
	Server      group.Server
	Address     string
	Incarnation protocol.Incarnation
	Leaving     bool
	Status      group.Status
}

// ServerFailed reports that a server is considered dead until its next announcement or answer.
type ServerFailed struct{ Server group.Server }

// Drained reports that no entry runs a transaction of an older term than this one.
type Drained struct{ Term group.Term }

// Outcome is the result of an effect on a database.
type Outcome string

// The outcomes of effects on databases.
const (
	OutcomeDone Outcome = "done"
	// OutcomeRefused means that the member answered but did not carry out the effect.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown means that no answer arrived.
	OutcomeUnknown Outcome = "unknown"
)

// FenceResult is the answer to a Fence.
type FenceResult struct {
	Server  group.Server
	Term    group.Term
	Outcome Outcome
	// Status is the member's state after the effect or the refusal.
	Status group.Status
}

// PromoteResult is the answer to a Promote.
type PromoteResult struct {
	Server  group.Server
	Term    group.Term
	Outcome Outcome
	Status  group.Status
}

// FollowResult is the answer to a Follow.
type FollowResult struct {
	Server  group.Server
	Term    group.Term
	Outcome Outcome
}

// WaitResult is the answer to a Wait; Status holds the position that the member has received.
type WaitResult struct {
	Server  group.Server
	Term    group.Term
	Outcome Outcome
	Status  group.Status
}

// JournalResult is the answer to a Journal with the configuration in force afterwards, even if a different one was journalled.
type JournalResult struct {
	// Outcome is OutcomeUnknown when the configuration in force could not be determined.
	Outcome Outcome
	Current group.Configuration
}

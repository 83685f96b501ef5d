package catalog

import (
	"context"

	"lentilwind.dev/lentilwind/journal"
)

// Ledger provides the replicated state to the services of one control process.
type Ledger interface {
	// Propose replicates a command and returns its result once a majority has stored it and it has been applied.
	//
	// After an error the command may still take effect later.
	Propose(ctx context.Context, command Command) (Result, error)
	// State returns the newest applied state; a returned state is immutable.
	State() *State
	// Leading returns the term in which this process leads, and whether it is certain that no other process can lead now.
	//
	// It returns true only once the state contains everything that earlier leaders committed.
	Leading() (journal.Term, bool)
	// Changed returns a channel that is closed at the next change of the state or the leadership.
	Changed() <-chan struct{}
}

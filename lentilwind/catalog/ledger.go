package catalog

import (
	"context"

	"lentilwind.dev/lentilwind/journal"
)

// Ledger is the replicated state as the parts of one control process use it.
type Ledger interface {
	// Propose returns the result of a command once a majority holds it and it has been applied.
	//
	// After an error the command may still take effect later.
	Propose(ctx context.Context, command Command) (Result, error)
	// State returns the newest applied state; it never changes once returned.
	State() *State
	// Leading returns the term that this process leads in and whether no other process can lead now.
	//
	// It is true only once the state holds everything that earlier leaders committed.
	Leading() (journal.Term, bool)
	// Changed returns a channel that is closed at the next change of the state or of the leadership.
	Changed() <-chan struct{}
}

package journal

// Effect is an action that the owner of a Machine must execute.
//
// Effects are executed in order: a Save or SaveSnapshot must be durable before any later effect starts. These two may also
// be executed earlier than their turn.
type Effect interface{ effect() }

// Save makes the hard state and entries durable; the first entry replaces all stored entries from its index on.
type Save struct {
	HardState HardState
	Entries   []Entry
}

// SaveSnapshot makes a snapshot durable.
type SaveSnapshot struct {
	Snapshot Snapshot
	// Entries are all entries that remain after the snapshot.
	Entries []Entry
}

// Send sends a message to another member.
type Send struct{ Message Message }

// Apply applies committed entries to the replicated state, in order and without a gap.
type Apply struct{ Entries []Entry }

// Restore replaces the replicated state by that of a snapshot.
type Restore struct{ Snapshot Snapshot }

// TakeSnapshot asks the owner to pass a snapshot of the applied state to Machine.Compact.
type TakeSnapshot struct{}

// LeaderChange reports that the leader known to the member has changed.
type LeaderChange struct {
	Term Term
	// Leader is 0 while no leader is known.
	Leader MemberID
}

func (Save) effect()         {}
func (SaveSnapshot) effect() {}
func (Send) effect()         {}
func (Apply) effect()        {}
func (Restore) effect()      {}
func (TakeSnapshot) effect() {}
func (LeaderChange) effect() {}

package journal

// Effect is something that the owner of a machine must do.
//
// Effects are carried out in their order; a Save or SaveSnapshot must be durable before any later effect is begun. It is
// safe to do these two earlier than their turn.
type Effect interface{ effect() }

// Save makes promises and entries durable; an entry replaces any with the same or a higher index.
type Save struct {
	HardState HardState
	Entries   []Entry
}

// SaveSnapshot makes a snapshot durable.
type SaveSnapshot struct {
	Snapshot Snapshot
	// Entries are all that remain behind the snapshot.
	Entries []Entry
}

// Send sends a message.
type Send struct{ Message Message }

// Apply hands over entries that are final, in order and without a gap.
type Apply struct{ Entries []Entry }

// Restore replaces the replicated state by that of a snapshot.
type Restore struct{ Snapshot Snapshot }

// TakeSnapshot asks for a snapshot of the applied state through Machine.Compact.
type TakeSnapshot struct{}

// LeaderChange reports a change of what the member knows about the leader.
type LeaderChange struct {
	Term Term
	// Leader is 0 while none is known.
	Leader MemberID
}

func (Save) effect()         {}
func (SaveSnapshot) effect() {}
func (Send) effect()         {}
func (Apply) effect()        {}
func (Restore) effect()      {}
func (TakeSnapshot) effect() {}
func (LeaderChange) effect() {}

package statement

import "lentilwind.dev/lentilwind/group"

// ID is the caller's identifier of a request; it is passed on to the database unchanged.
type ID string

// ProxyID is the identifier of statements that the proxy issues on its own behalf.
const ProxyID ID = "-"

// Verb is the kind of a statement.
type Verb string

// The verbs.
const (
	Begin      Verb = "begin"
	Commit     Verb = "commit"
	Rollback   Verb = "rollback"
	Read       Verb = "read"
	Write      Verb = "write"
	Set        Verb = "set"
	Prepare    Verb = "prepare"
	Execute    Verb = "execute"
	Deallocate Verb = "deallocate"
	// Reset discards the session values and prepared statements of a database connection.
	Reset Verb = "reset"
	// Status asks a database for a Report.
	Status Verb = "status"
	// Demote turns a primary of an older term into a replica.
	Demote Verb = "demote"
	// Suspend makes a replica stop receiving records.
	Suspend Verb = "suspend"
	// Resume ends a Suspend.
	Resume Verb = "resume"
)

// Statement is one request of a caller or of the proxy.
type Statement struct {
	ID   ID   `cbor:"1,keyasint,omitempty"`
	Verb Verb `cbor:"2,keyasint,omitempty"`
	// Text is the text that the caller sent; it is passed on unchanged except for the names of prepared statements.
	Text string `cbor:"3,keyasint,omitempty"`
	// ReadOnly marks read-only transactions and prepared statements.
	ReadOnly bool `cbor:"4,keyasint,omitempty"`
	// Name is the name of a session value or a prepared statement.
	Name string `cbor:"5,keyasint,omitempty"`
	// Value is the value of a Set, the text of a Prepare, or the arguments of an Execute.
	Value string `cbor:"6,keyasint,omitempty"`
	// Term is the term of a Demote or Suspend.
	Term group.Term `cbor:"7,keyasint,omitempty"`
	// MinPosition is the minimum position that the database must have reached to run the statement; zero means no minimum.
	MinPosition group.Floor `cbor:"8,keyasint,omitempty"`
}

// State is the transaction state of a session after an answer.
type State string

// The states.
const (
	Idle          State = "idle"
	InTransaction State = "transaction"
	// Failed is a transaction that can only be rolled back.
	Failed State = "failed"
)

// Outcome is the result of running a statement.
type Outcome string

// Outcomes. Those for which NotRun is true guarantee that the database has not run the statement.
const (
	// Done means that the statement succeeded.
	Done Outcome = "done"
	// Busy means that there is currently no capacity.
	Busy Outcome = "busy"
	// Overloaded means that a quota or a connection limit is exhausted.
	Overloaded Outcome = "overloaded"
	// Aborted means that the transaction was rolled back.
	Aborted Outcome = "aborted"
	// Lagging means that no database has reached the required position.
	Lagging Outcome = "lagging"
	// ReadOnlyServer means that the database is not the primary.
	ReadOnlyServer Outcome = "readOnlyServer"
	// WrongServer means that another database answered at the address.
	WrongServer Outcome = "wrongServer"
	// UnknownStatement means that the prepared statement does not exist.
	UnknownStatement Outcome = "unknownStatement"
	// Malformed means that the statement cannot be parsed or is not valid in the session's state.
	Malformed Outcome = "malformed"
	// RunFailed means that the database ran the statement and reported an error.
	RunFailed Outcome = "runFailed"
	// TimedOut means that the statement's timeout expired; it may have run.
	TimedOut Outcome = "timedOut"
	// Unknown means that the outcome could not be determined; the statement may have run.
	Unknown Outcome = "unknown"
	// NoDatabase means that no route exists for the database name.
	NoDatabase Outcome = "noDatabase"
	// BadKey means that no workspace holds the caller's key.
	BadKey Outcome = "badKey"
)

// NotRun reports whether a database that answers with this outcome has not run the statement.
func (o Outcome) NotRun() bool {
	switch o {
	case Busy, Overloaded, Lagging, ReadOnlyServer, WrongServer, UnknownStatement:
		return true
	default:
		return false
	}
}

// NothingKept reports whether a client that is answered with this outcome may rely on it that nothing of its operation is kept, including the
// earlier statements of an open transaction.
func (o Outcome) NothingKept() bool {
	switch o {
	case Busy, Overloaded, Aborted, Lagging, ReadOnlyServer, WrongServer:
		return true
	default:
		return false
	}
}

// Answer is the complete answer to one statement.
type Answer struct {
	Rows []string `cbor:"1,keyasint,omitempty"`
	// Signature is the database's signature of a successful answer.
	Signature string  `cbor:"2,keyasint,omitempty"`
	Outcome   Outcome `cbor:"3,keyasint,omitempty"`
	// Detail explains a failure.
	Detail string `cbor:"4,keyasint,omitempty"`
	State  State  `cbor:"5,keyasint,omitempty"`
	// Position is the end of the database's log; zero if the database did not report it.
	Position group.Floor `cbor:"6,keyasint,omitempty"`
	// Report answers a Status, a Demote or a Suspend.
	Report *Report `cbor:"7,keyasint,omitempty"`
}

// Report is a database's description of its own replication state.
type Report struct {
	Primary bool       `cbor:"1,keyasint,omitempty"`
	Term    group.Term `cbor:"2,keyasint,omitempty"`
	// Received is the last position that the database has received; it may not have applied it yet.
	Received group.Floor `cbor:"3,keyasint,omitempty"`
	// Suspended is the term for which the database has stopped receiving; 0 if it has not.
	Suspended group.Term `cbor:"4,keyasint,omitempty"`
}

// FailureAnswer returns the answer to a statement that failed.
func FailureAnswer(outcome Outcome, detail string, state State) Answer {
	return Answer{Outcome: outcome, Detail: detail, State: state}
}

// ProxySignature is the signature of answers that the proxy generates itself.
const ProxySignature = "-"

// SuccessAnswer returns the answer to a statement that the proxy has executed itself.
func SuccessAnswer(state State) Answer {
	return Answer{Outcome: Done, Signature: ProxySignature, State: state}
}

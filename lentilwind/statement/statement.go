package statement

import "lentilwind.dev/lentilwind/group"

// ID is the caller's identifier of a request; it travels unchanged to the database.
type ID string

// ProxyID is the identifier of statements that the proxy issues itself.
const ProxyID ID = "-"

// Verb tells what a statement does.
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
	// Reset drops the values and prepared statements of a database connection.
	Reset Verb = "reset"
	// Status asks a database for its role and position.
	Status Verb = "status"
	// Demote makes a primary of an older term a replica.
	Demote Verb = "demote"
	// Suspend stops a replica from receiving.
	Suspend Verb = "suspend"
)

// Statement is one request of a caller or of the proxy.
type Statement struct {
	ID   ID   `cbor:"1,keyasint,omitempty"`
	Verb Verb `cbor:"2,keyasint,omitempty"`
	// Text is what the caller sent; it travels unchanged, save for the names of prepared statements.
	Text string `cbor:"3,keyasint,omitempty"`
	// ReadOnly marks transactions and prepared statements that write nothing.
	ReadOnly bool `cbor:"4,keyasint,omitempty"`
	// Name names a session value or a prepared statement.
	Name string `cbor:"5,keyasint,omitempty"`
	// Value is the value of a Set, the shape of a Prepare, or the arguments of an Execute.
	Value string `cbor:"6,keyasint,omitempty"`
	// Term is the term of a Demote or Suspend.
	Term group.Term `cbor:"7,keyasint,omitempty"`
	// MinPosition is the least position that the database must have for the statement to run; zero asks for none.
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

// Outcome tells how a statement ended.
type Outcome string

// The outcomes; those of NothingKept promise that nothing of the caller's attempt is kept.
const (
	// Done means success.
	Done Outcome = "done"
	// Busy means that there is no capacity now.
	Busy Outcome = "busy"
	// Overloaded means that a quota or a limit of connections is used up.
	Overloaded Outcome = "overloaded"
	// Aborted means that the transaction was rolled back.
	Aborted Outcome = "aborted"
	// Lagging means that no database has the needed position.
	Lagging Outcome = "lagging"
	// ReadOnlyServer means that the database is not the primary.
	ReadOnlyServer Outcome = "readOnlyServer"
	// WrongServer means that another database answered at the address.
	WrongServer Outcome = "wrongServer"
	// UnknownStatement means that the prepared statement does not exist.
	UnknownStatement Outcome = "unknownStatement"
	// Malformed means that the statement does not fit the session's state or cannot be read.
	Malformed Outcome = "malformed"
	// RunFailed means that the database ran the statement and failed.
	RunFailed Outcome = "runFailed"
	// TimedOut means that the statement's time is over; it may have run.
	TimedOut Outcome = "timedOut"
	// Unknown means that the statement may have run.
	Unknown Outcome = "unknown"
	// NoDatabase means that no route has the database's name.
	NoDatabase Outcome = "noDatabase"
	// BadKey means that no workspace holds the caller's key.
	BadKey Outcome = "badKey"
)

// NotRun tells whether a database that answers with this outcome has not run the statement.
func (o Outcome) NotRun() bool {
	switch o {
	case Busy, Overloaded, Lagging, ReadOnlyServer, WrongServer, UnknownStatement:
		return true
	default:
		return false
	}
}

// Answer is the whole answer to one statement.
type Answer struct {
	Rows []string `cbor:"1,keyasint,omitempty"`
	// Signature is what the database signed its success with.
	Signature string  `cbor:"2,keyasint,omitempty"`
	Outcome   Outcome `cbor:"3,keyasint,omitempty"`
	// Detail explains a failure.
	Detail string `cbor:"4,keyasint,omitempty"`
	State  State  `cbor:"5,keyasint,omitempty"`
	// Position is the end of the database's log; zero when it was not told.
	Position group.Floor `cbor:"6,keyasint,omitempty"`
	// Report answers a Status, a Demote or a Suspend.
	Report *Report `cbor:"7,keyasint,omitempty"`
}

// Report is what a database says of itself.
type Report struct {
	Primary bool       `cbor:"1,keyasint,omitempty"`
	Term    group.Term `cbor:"2,keyasint,omitempty"`
	// Received is the last position that the database has received, which it may not have applied yet.
	Received group.Floor `cbor:"3,keyasint,omitempty"`
	// Suspended is the term for which the database has stopped to receive, 0 for none.
	Suspended group.Term `cbor:"4,keyasint,omitempty"`
}

// FailureAnswer returns the answer of a statement that failed.
func FailureAnswer(outcome Outcome, detail string, state State) Answer {
	return Answer{Outcome: outcome, Detail: detail, State: state}
}

// ProxySignature stands in the answers that the proxy gives by itself.
const ProxySignature = "-"

// SuccessAnswer returns the answer of a statement that the proxy has carried out by itself.
func SuccessAnswer(state State) Answer {
	return Answer{Outcome: Done, Signature: ProxySignature, State: state}
}

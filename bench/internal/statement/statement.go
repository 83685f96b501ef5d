package statement

import "fmt"

// Error is an error with the SQLSTATE that is sent to the client.
type Error struct {
	Code    string
	Message string
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("statement: %s (SQLSTATE %s)", e.Message, e.Code) }

func syntaxError(message string) error { return &Error{Code: "42601", Message: message} }

func unsupportedError(message string) error { return &Error{Code: "0A000", Message: message} }

// Type is a PostgreSQL data type.
type Type string

// The supported data types.
const (
	TypeText   Type = "text"
	TypeInt8   Type = "int8"
	TypeBool   Type = "bool"
	TypeFloat8 Type = "float8"
)

// Value is a value of one Type; null is not supported.
type Value struct {
	Type  Type
	Text  string
	Int   int64
	Bool  bool
	Float float64
}

// Text returns a text value.
func Text(s string) Value { return Value{Type: TypeText, Text: s} }

// Int returns an integer value.
func Int(n int64) Value { return Value{Type: TypeInt8, Int: n} }

// Operand is a literal, a parameter or a column.
type Operand struct {
	// Parameter is the number of the parameter, from 1; 0 means that Literal or Column is used.
	Parameter int
	Literal   Value
	// Column names the column of the row to read; empty for a literal or a parameter.
	Column string
}

// ResultColumn describes one column of a result.
type ResultColumn struct {
	Name string
	Type Type
}

// Kind is the kind of a statement.
type Kind string

// The supported kinds. KindStatus and those below it are the monitoring functions.
const (
	KindSelect     Kind = "select"
	KindInsert     Kind = "insert"
	KindUpdate     Kind = "update"
	KindDelete     Kind = "delete"
	KindConstant   Kind = "constant"
	KindSleep      Kind = "sleep"
	KindBegin      Kind = "begin"
	KindCommit     Kind = "commit"
	KindRollback   Kind = "rollback"
	KindSet        Kind = "set"
	KindShow       Kind = "show"
	KindDiscard    Kind = "discard"
	KindDeallocate Kind = "deallocate"
	KindStatus     Kind = "status"
	KindWait       Kind = "wait"
	KindFence      Kind = "fence"
	KindPromote    Kind = "promote"
	KindFollow     Kind = "follow"
)

// Table describes a table of the fixed schema.
type Table struct {
	Name    string
	Columns []string
	// UniqueColumn is the column whose values are unique within a workspace; empty if the table has none.
	UniqueColumn string
}

var tables = map[string]Table{
	"stock":   {Name: "stock", Columns: []string{"key", "value"}, UniqueColumn: "key"},
	"entries": {Name: "entries", Columns: []string{"id", "key", "value"}, UniqueColumn: "id"},
	"journal": {Name: "journal", Columns: []string{"id", "key", "value"}},
}

// workspaceColumn can be read in every table but not written. SELECT * leaves it out.
const workspaceColumn = "workspace"

func columnType(name string) Type {
	if name == "value" {
		return TypeInt8
	}
	return TypeText
}

// Condition compares a column with an operand.
type Condition struct {
	Column   string
	Operator string
	Operand  Operand
}

// SumTerm is an operand of a sum, which is subtracted if Negative is set.
type SumTerm struct {
	Operand  Operand
	Negative bool
}

// ConflictAction is what an INSERT does with a row whose unique column already has the value.
type ConflictAction string

// The conflict actions; ConflictError is the default without an ON CONFLICT clause.
const (
	ConflictError     ConflictAction = ""
	ConflictDoNothing ConflictAction = "nothing"
	ConflictDoUpdate  ConflictAction = "update"
)

// ExcludedColumn refers to the value proposed for insertion in ON CONFLICT DO UPDATE.
const ExcludedColumn = "excluded.value"

// Statement is one parsed statement.
type Statement struct {
	Kind Kind
	// Text is the source text with leading comments.
	Text string
	// ParameterTypes holds the type of each parameter, in order of their numbers.
	ParameterTypes []Type
	// ResultColumns describes the columns of the result; empty if the statement returns no rows.
	ResultColumns []ResultColumn

	Table         Table
	Outputs       []Output
	Where         []Condition
	Assignment    []SumTerm
	InsertColumns []string
	Rows          [][]Operand
	OnConflict    ConflictAction
	OrderBy       string
	// Descending sorts in descending order of OrderBy.
	Descending bool
	// Limit is negative if the statement has no LIMIT.
	Limit int64
	// ForUpdate locks the selected rows.
	ForUpdate bool

	// Name is the name of a setting, or of the prepared statement to deallocate; empty in DEALLOCATE ALL.
	Name         string
	SettingValue string
	ReadOnly     bool
	// Arguments are the arguments of a function, or the operand of KindConstant.
	Arguments []Operand
}

// Output is one expression of a SELECT or RETURNING list.
type Output struct {
	// Aggregate is "count", "sum" or empty.
	Aggregate string
	Column    string
}

// ReturnsRows reports whether the statement has a result with columns.
func (s *Statement) ReturnsRows() bool { return len(s.ResultColumns) > 0 }

// Writes reports whether the statement may change or lock rows.
func (s *Statement) Writes() bool {
	switch s.Kind {
	case KindInsert, KindUpdate, KindDelete:
		return true
	}
	return s.ForUpdate
}

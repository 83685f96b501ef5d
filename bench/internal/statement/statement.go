package statement

import "fmt"

// Error is a refusal with its SQLSTATE.
type Error struct {
	Code    string
	Message string
}

// Error formats the refusal.
func (e *Error) Error() string { return fmt.Sprintf("statement: %s (SQLSTATE %s)", e.Message, e.Code) }

func syntaxError(message string) error { return &Error{Code: "42601", Message: message} }

func unsupported(message string) error { return &Error{Code: "0A000", Message: message} }

// Type is a type of values.
type Type string

// The types of values.
const (
	TypeText   Type = "text"
	TypeInt8   Type = "int8"
	TypeBool   Type = "bool"
	TypeFloat8 Type = "float8"
)

// Value is one typed value; there are no nulls.
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

// Operand is a literal or a parameter.
type Operand struct {
	// Parameter counts from 1; 0 means that Literal holds the value.
	Parameter int
	Literal   Value
	// Column is set for a value that is read from the row.
	Column string
}

// ResultColumn describes one column of a result.
type ResultColumn struct {
	Name string
	Type Type
}

// Kind names what a statement does.
type Kind string

// The kinds of statements.
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

// Table is one of the fixed tables.
type Table struct {
	Name    string
	Columns []string
	// UniqueColumn is the column that is unique in a workspace; empty when rows may repeat.
	UniqueColumn string
}

var tables = map[string]Table{
	"stock":   {Name: "stock", Columns: []string{"key", "value"}, UniqueColumn: "key"},
	"entries": {Name: "entries", Columns: []string{"id", "key", "value"}, UniqueColumn: "id"},
	"journal": {Name: "journal", Columns: []string{"id", "key", "value"}},
}

// workspaceColumn can be read by its name in each table and never be written.
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

// SumTerm is one part of a sum.
type SumTerm struct {
	Operand  Operand
	Negative bool
}

// ConflictAction tells what an insert does with a row that exists.
type ConflictAction string

// The behaviours on conflict.
const (
	ConflictError     ConflictAction = ""
	ConflictDoNothing ConflictAction = "nothing"
	ConflictDoUpdate  ConflictAction = "update"
)

// ExcludedColumn stands for the inserted value in the update of a conflicting row.
const ExcludedColumn = "excluded.value"

// Statement is one statement that the stand-in understands.
type Statement struct {
	Kind Kind
	// Text is the statement with its leading comments.
	Text string
	// ParameterTypes has the type of each parameter.
	ParameterTypes []Type
	// ResultColumns describes the rows of the answer; empty when it has none.
	ResultColumns []ResultColumn

	Table         Table
	Outputs       []Output
	Where         []Condition
	Assignment    []SumTerm
	InsertColumns []string
	Rows          [][]Operand
	OnConflict    ConflictAction
	OrderBy       string
	// Descending reverses Order.
	Descending bool
	// Limit is negative when there is none.
	Limit int64
	// ForUpdate asks for row locks of the rows read.
	ForUpdate bool

	Name         string
	SettingValue string
	ReadOnly     bool
	Arguments    []Operand
}

// Output is one result expression over a table.
type Output struct {
	// Aggregate is count, sum or empty.
	Aggregate string
	Column    string
}

// ReturnsRows tells whether the answer of the statement has rows.
func (s *Statement) ReturnsRows() bool { return len(s.ResultColumns) > 0 }

// Writes tells whether the statement may change rows.
func (s *Statement) Writes() bool {
	switch s.Kind {
	case KindInsert, KindUpdate, KindDelete:
		return true
	}
	return s.ForUpdate
}

package relay

import (
	"crypto/sha256"
	"encoding/hex"
)

const (
	internalPrefix    = "lw_"
	internalHashBytes = 16
)

// Limits on the prepared statements of one caller.
const (
	maxStatements     = 10_000
	maxStatementBytes = 16 << 20
)

// Statement is a prepared statement of a caller.
type Statement struct {
	// internalName is the statement's name on database connections. It is a hash of the content; the unnamed statement has none.
	internalName []byte
	// parse is the body of the Parse message with the internal name.
	parse []byte
	// textStart and textEnd delimit the statement's text in parse.
	textStart, textEnd int
}

// Text returns the text of the statement.
func (s *Statement) Text() []byte { return s.parse[s.textStart:s.textEnd] }

// newStatement creates a statement from the part of a Parse body after the name.
func newStatement(named bool, rest []byte) (*Statement, error) {
	text, _, err := CutString(rest)
	if err != nil {
		return nil, err
	}
	s := &Statement{}
	if named {
		sum := sha256.Sum256(rest)
		s.internalName = append(s.internalName, internalPrefix...)
		s.internalName = hex.AppendEncode(s.internalName, sum[:internalHashBytes])
	}
	s.parse = make([]byte, 0, len(s.internalName)+1+len(rest))
	s.parse = append(s.parse, s.internalName...)
	s.parse = append(s.parse, 0)
	s.textStart = len(s.parse)
	s.textEnd = s.textStart + len(text)
	s.parse = append(s.parse, rest...)
	return s, nil
}

// Statements holds the prepared statements of one caller by name; the unnamed statement has the empty name.
type Statements struct {
	byName map[string]*Statement
	bytes  int
}

// Clear removes all statements.
func (s *Statements) Clear() { s.byName, s.bytes = nil, 0 }

func (s *Statements) find(name []byte) *Statement { return s.byName[string(name)] }

func (s *Statements) set(name []byte, statement *Statement) error {
	if s.byName == nil {
		s.byName = make(map[string]*Statement)
	}
	s.remove(name)
	if len(s.byName) >= maxStatements || s.bytes+len(statement.parse) > maxStatementBytes {
		return ErrTooManyStatements
	}
	s.byName[string(name)] = statement
	s.bytes += len(statement.parse)
	return nil
}

func (s *Statements) remove(name []byte) {
	if old := s.byName[string(name)]; old != nil {
		s.bytes -= len(old.parse)
		delete(s.byName, string(name))
	}
}

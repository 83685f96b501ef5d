package relay

import (
	"crypto/sha256"
	"encoding/hex"
)

const (
	internalPrefix    = "lw_"
	internalHashBytes = 16
)

// Limits of what one caller may keep prepared.
const (
	maxStatements     = 10_000
	maxStatementBytes = 16 << 20
)

// Statement is a prepared statement of a caller.
type Statement struct {
	// internal is the statement's name on database connections, derived from its content; the unnamed one has none.
	internal []byte
	// parse is the body of the Parse message under the internal name.
	parse []byte
	// textStart and textEnd bound the statement's text in parse.
	textStart, textEnd int
}

// Text returns the text of the statement.
func (s *Statement) Text() []byte { return s.parse[s.textStart:s.textEnd] }

// newStatement reads the rest of a Parse body behind the name.
func newStatement(named bool, rest []byte) (*Statement, error) {
	text, _, err := CutString(rest)
	if err != nil {
		return nil, err
	}
	s := &Statement{}
	if named {
		sum := sha256.Sum256(rest)
		s.internal = append(s.internal, internalPrefix...)
		s.internal = hex.AppendEncode(s.internal, sum[:internalHashBytes])
	}
	s.parse = make([]byte, 0, len(s.internal)+1+len(rest))
	s.parse = append(s.parse, s.internal...)
	s.parse = append(s.parse, 0)
	s.textStart = len(s.parse)
	s.textEnd = s.textStart + len(text)
	s.parse = append(s.parse, rest...)
	return s, nil
}

// Statements is what one caller has prepared, by the caller's names; the unnamed statement has the empty name.
type Statements struct {
	byName map[string]*Statement
	bytes  int
}

// Clear forgets every statement.
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

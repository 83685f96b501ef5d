package relay

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
)

// Errors about a caller's messages.
var (
	ErrTooManyStatements = errors.New("relay: the caller keeps too many prepared statements")
	ErrUnknownStatement  = errors.New("relay: unknown prepared statement")
	ErrContainsKey       = errors.New("relay: a message contains the caller's key")
	ErrReservedName      = errors.New("relay: a message names a reserved parameter")
	ErrNotSupported      = errors.New("relay: unsupported message")
)

const reservedName = "lentilwind"

// Request is a batch of a caller's messages, rewritten for a database connection.
//
// Names of prepared statements are replaced by internal ones. A KindEnsurePrepared message precedes the first use of each statement
// that the batch does not parse itself. The Close of a statement is kept so that it is answered, but is not sent to a database.
type Request struct {
	// Data holds the rewritten messages.
	Data []byte
	// RoutingText is the text that the request is routed by: the first statement that is not a plain BEGIN, or else the BEGIN.
	RoutingText []byte
	// SimpleQuery reports whether the request is one simple query.
	SimpleQuery bool
	// Executes reports whether the request runs a statement rather than only preparing it.
	Executes bool
	// NeedsDatabase is false if the entry can answer the request itself.
	NeedsDatabase bool
	// OnlyBegin reports whether the request is one plain BEGIN, whose text is RoutingText.
	OnlyBegin bool
	// HasBegin reports whether the request contains a plain BEGIN.
	HasBegin bool
	// EndsWithSync reports whether the request ends with Query or Sync rather than Flush.
	EndsWithSync bool
	// ExecutesEarlierPortal reports whether the request executes a portal that an earlier request has bound.
	ExecutesEarlierPortal bool

	prepared, portals [][]byte
	routedByBegin     bool
}

// Reset empties the request and keeps its memory for reuse.
func (r *Request) Reset() {
	*r = Request{Data: r.Data[:0], prepared: r.prepared[:0], portals: r.portals[:0]}
}

// Rewriter rewrites a caller's messages into requests.
type Rewriter struct {
	Statements Statements
	// Key is the caller's key, which no message may contain; empty for callers without one.
	Key []byte
}

// Rewrite fills a request from a batch of complete messages.
func (w *Rewriter) Rewrite(r *Request, batch []byte) error {
	r.Reset()
	for len(batch) > 0 {
		kind, body, rest, err := Split(batch)
		if err != nil {
			return err
		}
		if err := w.check(kind, body); err != nil {
			return err
		}
		if err := w.rewriteMessage(r, kind, body); err != nil {
			return err
		}
		batch = rest
	}
	return nil
}

// check rejects messages that must not reach a database.
func (w *Rewriter) check(kind Kind, body []byte) error {
	if len(w.Key) > 0 && bytes.Contains(body, w.Key) {
		return ErrContainsKey
	}
	switch kind {
	case KindQuery, KindParse:
		if containsFold(body, reservedName) {
			return ErrReservedName
		}
	case KindBind, KindCopyData:
		if containsFold(body, reservedName+".") {
			return ErrReservedName
		}
	}
	return nil
}

func (w *Rewriter) rewriteMessage(r *Request, kind Kind, body []byte) error {
	switch kind {
	case KindQuery:
		return r.query(body)
	case KindParse:
		return w.parse(r, body)
	case KindBind:
		return w.bind(r, body)
	case KindDescribe:
		return w.describe(r, body)
	case KindClose:
		return w.close(r, body)
	case KindExecute:
		return r.execute(body)
	case KindSync:
		r.EndsWithSync = true
	case KindFlush:
	default:
		return fmt.Errorf("%w: kind %q", ErrNotSupported, byte(kind))
	}
	r.append(kind, body)
	return nil
}

func (r *Request) append(kind Kind, body []byte) {
	r.Data = AppendHeader(r.Data, kind, len(body))
	r.Data = append(r.Data, body...)
}

func (r *Request) query(body []byte) error {
	text, _, err := CutString(body)
	if err != nil {
		return err
	}
	r.SimpleQuery, r.Executes, r.NeedsDatabase, r.EndsWithSync = true, true, true, true
	r.RoutingText = text
	r.OnlyBegin = IsBegin(text)
	r.HasBegin = r.OnlyBegin
	r.append(KindQuery, body)
	return nil
}

// addStatementText updates the routing text and the BEGIN flags with the text of a statement.
func (r *Request) addStatementText(text []byte) {
	r.NeedsDatabase = true
	begin := IsBegin(text)
	r.HasBegin = r.HasBegin || begin
	switch {
	case r.RoutingText == nil:
		r.RoutingText, r.routedByBegin, r.OnlyBegin = text, begin, begin
	case r.routedByBegin && !begin:
		r.RoutingText, r.routedByBegin, r.OnlyBegin = text, false, false
	}
}

func (w *Rewriter) parse(r *Request, body []byte) error {
	name, rest, err := CutString(body)
	if err != nil {
		return err
	}
	statement, err := newStatement(len(name) > 0, rest)
	if err != nil {
		return err
	}
	if err := w.Statements.set(name, statement); err != nil {
		return err
	}
	r.addStatementText(statement.Text())
	r.prepared = append(r.prepared, statement.internalName)
	r.append(KindParse, statement.parse)
	return nil
}

// useStatement looks up a statement and ensures that the request prepares it.
func (w *Rewriter) useStatement(r *Request, name []byte) (*Statement, error) {
	statement := w.Statements.find(name)
	if statement == nil {
		return nil, fmt.Errorf("%w: %q", ErrUnknownStatement, name)
	}
	r.addStatementText(statement.Text())
	for _, parsed := range r.prepared {
		if bytes.Equal(parsed, statement.internalName) {
			return statement, nil
		}
	}
	r.prepared = append(r.prepared, statement.internalName)
	r.append(KindEnsurePrepared, statement.parse)
	return statement, nil
}

func (r *Request) execute(body []byte) error {
	portal, _, err := CutString(body)
	if err != nil {
		return err
	}
	bound := slices.ContainsFunc(r.portals, func(name []byte) bool { return bytes.Equal(name, portal) })
	r.ExecutesEarlierPortal = r.ExecutesEarlierPortal || !bound
	r.Executes, r.NeedsDatabase = true, true
	r.append(KindExecute, body)
	return nil
}

func (w *Rewriter) bind(r *Request, body []byte) error {
	portal, rest, err := CutString(body)
	if err != nil {
		return err
	}
	name, rest, err := CutString(rest)
	if err != nil {
		return err
	}
	statement, err := w.useStatement(r, name)
	if err != nil {
		return err
	}
	r.portals = append(r.portals, portal)
	r.Data = AppendHeader(r.Data, KindBind, len(portal)+1+len(statement.internalName)+1+len(rest))
	r.Data = append(r.Data, portal...)
	r.Data = append(r.Data, 0)
	r.Data = append(r.Data, statement.internalName...)
	r.Data = append(r.Data, 0)
	r.Data = append(r.Data, rest...)
	return nil
}

const (
	targetStatement = 'S'
	targetPortal    = 'P'
)

// cutTarget returns the kind and the name of the object in a Describe or Close body.
func cutTarget(body []byte) (byte, []byte, error) {
	if len(body) == 0 || (body[0] != targetStatement && body[0] != targetPortal) {
		return 0, nil, fmt.Errorf("%w: unknown object type", ErrMalformedMessage)
	}
	name, _, err := CutString(body[1:])
	return body[0], name, err
}

func (w *Rewriter) describe(r *Request, body []byte) error {
	targetKind, name, err := cutTarget(body)
	if err != nil {
		return err
	}
	r.NeedsDatabase = true
	if targetKind == targetPortal {
		r.append(KindDescribe, body)
		return nil
	}
	statement, err := w.useStatement(r, name)
	if err != nil {
		return err
	}
	r.Data = AppendHeader(r.Data, KindDescribe, len(statement.internalName)+2)
	r.Data = append(r.Data, targetStatement)
	r.Data = append(r.Data, statement.internalName...)
	r.Data = append(r.Data, 0)
	return nil
}

func (w *Rewriter) close(r *Request, body []byte) error {
	targetKind, name, err := cutTarget(body)
	if err != nil {
		return err
	}
	if targetKind == targetStatement {
		w.Statements.remove(name)
	} else {
		r.NeedsDatabase = true
	}
	r.append(KindClose, body)
	return nil
}

// containsFold reports whether data contains word, ignoring case; word must be lower-case ASCII.
func containsFold(data []byte, word string) bool {
	for i := 0; i+len(word) <= len(data); i++ {
		if data[i]|caseBit == word[0] && equalFold(data[i:i+len(word)], word) {
			return true
		}
	}
	return false
}

const caseBit = 0x20

func equalFold(data []byte, word string) bool {
	for i := range len(word) {
		b := data[i]
		if 'A' <= b && b <= 'Z' {
			b |= caseBit
		}
		if b != word[i] {
			return false
		}
	}
	return true
}

package pool

import (
	"strconv"

	"lentilwind.dev/entry/internal/relay"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
)

// Scope limits which data the statements of a connection can read and change.
type Scope struct {
	Workspace inventory.WorkspaceName
	Slot      group.Slot
	Term      group.Term
	Access    inventory.Access
}

// Statements that prepare a connection for a transaction.
const (
	discardText = "DISCARD ALL"
	beginText   = "BEGIN"
)

// AppendQuery appends a simple query message.
func AppendQuery(dst []byte, text string) []byte {
	dst = relay.AppendHeader(dst, relay.KindQuery, len(text)+1)
	dst = append(dst, text...)
	return append(dst, 0)
}

// AppendDiscard appends the query that resets the session state of the connection.
func AppendDiscard(dst []byte) []byte { return AppendQuery(dst, discardText) }

// AppendScope appends the query that sets the scope. The inventory validates names, so they need no escaping.
func AppendScope(dst []byte, s Scope) []byte {
	start := len(dst)
	dst = relay.AppendHeader(dst, relay.KindQuery, 0)
	body := len(dst)
	dst = append(dst, "SET lentilwind.workspace = '"...)
	dst = append(dst, s.Workspace...)
	dst = append(dst, "'; SET lentilwind.slot = '"...)
	dst = strconv.AppendUint(dst, uint64(s.Slot), 10)
	dst = append(dst, "'; SET lentilwind.term = '"...)
	dst = strconv.AppendUint(dst, uint64(s.Term), 10)
	dst = append(dst, "'; SET lentilwind.access = '"...)
	dst = append(dst, s.Access...)
	dst = append(dst, '\'', 0)
	relay.AppendHeader(dst[:start], relay.KindQuery, len(dst)-body)
	return dst
}

package member

import (
	"cmp"
	"slices"
)

// Operation changes one row.
type Operation struct {
	Table     string `cbor:"1,keyasint"`
	Workspace string `cbor:"2,keyasint"`
	// Identity identifies the row within its table and workspace.
	Identity string `cbor:"3,keyasint"`
	Delete   bool   `cbor:"4,keyasint,omitempty"`
	ID       string `cbor:"5,keyasint,omitempty"`
	Key      string `cbor:"6,keyasint,omitempty"`
	Value    int64  `cbor:"7,keyasint,omitempty"`
}

// Row is one row that reads can see.
type Row struct {
	Workspace string
	Identity  string
	ID        string
	Key       string
	Value     int64
	// order is the position of the row in the order of insertion.
	order uint64
}

// Column returns the value of a text column.
func (r Row) Column(name string) string {
	switch name {
	case "id":
		return r.ID
	case "key":
		return r.Key
	case "workspace":
		return r.Workspace
	}
	return ""
}

// scope identifies the rows that a statement can see: those of one table in one workspace.
type scope struct{ table, workspace string }

type rowSet struct {
	rows  map[string]Row
	byKey map[string]map[string]struct{}
}

// store holds the rows of a member that reads can see.
type store struct {
	scopes map[scope]*rowSet
	order  uint64
}

func newStore() *store { return &store{scopes: make(map[scope]*rowSet)} }

func (s *store) apply(operations []Operation) {
	for _, op := range operations {
		s.applyOne(op)
	}
}

func (s *store) applyOne(op Operation) {
	sc := scope{table: op.Table, workspace: op.Workspace}
	set := s.scopes[sc]
	if set == nil {
		set = &rowSet{rows: make(map[string]Row), byKey: make(map[string]map[string]struct{})}
		s.scopes[sc] = set
	}
	old, exists := set.rows[op.Identity]
	if exists && (op.Delete || old.Key != op.Key) {
		delete(set.byKey[old.Key], op.Identity)
	}
	if op.Delete {
		delete(set.rows, op.Identity)
		return
	}
	row := op.row()
	row.order = old.order
	if !exists {
		s.order++
		row.order = s.order
	}
	set.rows[op.Identity] = row
	if set.byKey[row.Key] == nil {
		set.byKey[row.Key] = make(map[string]struct{})
	}
	set.byKey[row.Key][op.Identity] = struct{}{}
}

func (op Operation) row() Row {
	return Row{Workspace: op.Workspace, Identity: op.Identity, ID: op.ID, Key: op.Key, Value: op.Value}
}

// find returns the rows of a scope, limited to one key unless key is nil.
func (s *store) find(sc scope, key *string) map[string]Row {
	found := make(map[string]Row)
	set := s.scopes[sc]
	if set == nil {
		return found
	}
	if key == nil {
		for identity, row := range set.rows {
			found[identity] = row
		}
		return found
	}
	for identity := range set.byKey[*key] {
		found[identity] = set.rows[identity]
	}
	return found
}

func sortRows(rows map[string]Row) []Row {
	list := make([]Row, 0, len(rows))
	for _, row := range rows {
		list = append(list, row)
	}
	slices.SortFunc(list, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.Identity, b.Identity))
	})
	return list
}

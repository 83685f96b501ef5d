package database

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"lentilwind.dev/bench/internal/member"
	"lentilwind.dev/bench/internal/statement"
)

// query is one statement on rows, run inside a transaction.
type query struct {
	ctx         context.Context
	st          *statement.Statement
	arguments   []statement.Value
	transaction *member.Transaction
}

func (q *query) execute() (*result, error) {
	switch q.st.Kind {
	case statement.KindConstant:
		return &result{rows: [][]statement.Value{{q.value(q.st.Arguments[0])}}, tag: "SELECT 1"}, nil
	case statement.KindSleep:
		return q.sleep()
	case statement.KindSelect:
		return q.selectRows()
	case statement.KindInsert:
		return q.insert()
	case statement.KindUpdate:
		return q.update()
	case statement.KindDelete:
		return q.delete()
	}
	return nil, &statement.Error{Code: "42501", Message: "only monitoring connections may do this"}
}

func (q *query) value(operand statement.Operand) statement.Value {
	if operand.Parameter > 0 && operand.Parameter <= len(q.arguments) {
		return q.arguments[operand.Parameter-1]
	}
	return operand.Literal
}

func (q *query) sleep() (*result, error) {
	d := secondsToDuration(q.value(q.st.Arguments[0]).Float)
	if err := sleep(q.ctx, d); err != nil {
		return nil, err
	}
	return &result{rows: [][]statement.Value{{statement.Text("")}}, tag: "SELECT 1"}, nil
}

// find returns the rows that match the WHERE conditions.
func (q *query) find() []member.Row {
	var key *string
	for _, c := range q.st.Where {
		if c.Column == "key" && c.Operator == "=" {
			text := q.value(c.Operand).Text
			key = &text
		}
	}
	return slices.DeleteFunc(q.transaction.Find(q.st.Table.Name, key), func(row member.Row) bool {
		return !q.matches(row)
	})
}

func (q *query) matches(row member.Row) bool {
	for _, c := range q.st.Where {
		want := q.value(c.Operand)
		order := cmp.Compare(row.Column(c.Column), want.Text)
		if c.Column == "value" {
			order = cmp.Compare(row.Value, want.Int)
		}
		if !satisfies(c.Operator, order) {
			return false
		}
	}
	return true
}

// satisfies reports whether the result of a comparison fulfils the operator.
func satisfies(operator string, order int) bool {
	switch operator {
	case "=":
		return order == 0
	case "<>", "!=":
		return order != 0
	case ">":
		return order > 0
	case ">=":
		return order >= 0
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	}
	return false
}

// findLocked locks the rows that match the WHERE conditions and returns those that still match once locked.
func (q *query) findLocked() ([]member.Row, error) {
	var locked []member.Row
	for _, row := range q.find() {
		if err := q.transaction.Lock(q.ctx, q.st.Table.Name, row.Identity); err != nil {
			return nil, err
		}
		current, exists := q.transaction.Get(q.st.Table.Name, row.Identity)
		if exists && q.matches(current) {
			locked = append(locked, current)
		}
	}
	return locked, nil
}

func (q *query) selectRows() (*result, error) {
	rows := q.find()
	if q.st.ForUpdate {
		var err error
		if rows, err = q.findLocked(); err != nil {
			return nil, err
		}
	}
	q.sort(rows)
	if q.st.Outputs[0].Aggregate != "" {
		return &result{rows: [][]statement.Value{q.aggregate(rows)}, tag: "SELECT 1"}, nil
	}
	if q.st.Limit >= 0 && int64(len(rows)) > q.st.Limit {
		rows = rows[:q.st.Limit]
	}
	return &result{rows: q.project(rows), tag: fmt.Sprintf("SELECT %d", len(rows))}, nil
}

func (q *query) sort(rows []member.Row) {
	column := q.st.OrderBy
	if column == "" {
		return
	}
	slices.SortStableFunc(rows, func(a, b member.Row) int {
		order := cmp.Compare(a.Column(column), b.Column(column))
		if column == "value" {
			order = cmp.Compare(a.Value, b.Value)
		}
		if q.st.Descending {
			return -order
		}
		return order
	})
}

func (q *query) aggregate(rows []member.Row) []statement.Value {
	var sum int64
	for _, row := range rows {
		sum += row.Value
	}
	var values []statement.Value
	for _, item := range q.st.Outputs {
		if item.Aggregate == "count" {
			values = append(values, statement.Int(int64(len(rows))))
			continue
		}
		values = append(values, statement.Int(sum))
	}
	return values
}

func (q *query) project(rows []member.Row) [][]statement.Value {
	projected := make([][]statement.Value, 0, len(rows))
	for _, row := range rows {
		values := make([]statement.Value, 0, len(q.st.Outputs))
		for _, item := range q.st.Outputs {
			if item.Column == "value" {
				values = append(values, statement.Int(row.Value))
				continue
			}
			values = append(values, statement.Text(row.Column(item.Column)))
		}
		projected = append(projected, values)
	}
	return projected
}

// commandResult returns the rows of RETURNING, if any, and the command tag.
func (q *query) commandResult(verb string, rows []member.Row) *result {
	res := &result{tag: fmt.Sprintf("%s %d", verb, len(rows))}
	if q.st.ReturnsRows() {
		res.rows = q.project(rows)
	}
	return res
}

func (q *query) insert() (*result, error) {
	var rows []member.Row
	for i, operands := range q.st.Rows {
		row, inserted, err := q.insertRow(i, operands)
		if err != nil {
			return nil, err
		}
		if inserted {
			rows = append(rows, row)
		}
	}
	return q.commandResult("INSERT 0", rows), nil
}

func (q *query) insertRow(n int, operands []statement.Operand) (member.Row, bool, error) {
	op := member.Operation{Table: q.st.Table.Name}
	for i, column := range q.st.InsertColumns {
		v := q.value(operands[i])
		switch column {
		case "id":
			op.ID = v.Text
		case "key":
			op.Key = v.Text
		case "value":
			op.Value = v.Int
		}
	}
	op.Identity = q.rowIdentity(op, n)
	if err := q.transaction.Lock(q.ctx, op.Table, op.Identity); err != nil {
		return member.Row{}, false, err
	}
	if old, exists := q.transaction.Get(op.Table, op.Identity); exists {
		return q.resolveConflict(op, old)
	}
	q.transaction.AddOperation(op)
	row, _ := q.transaction.Get(op.Table, op.Identity)
	return row, true, nil
}

// rowIdentity returns the primary key of a row; in a table without a unique column, each insert gets a new one.
func (q *query) rowIdentity(op member.Operation, n int) string {
	switch q.st.Table.UniqueColumn {
	case "key":
		return op.Key
	case "id":
		return op.ID
	}
	return fmt.Sprintf("%s/%d/%d", q.transaction.Name(), q.transaction.OperationCount(), n)
}

// resolveConflict applies ON CONFLICT to an insert of an existing row.
func (q *query) resolveConflict(op member.Operation, old member.Row) (member.Row, bool, error) {
	switch q.st.OnConflict {
	case statement.ConflictDoNothing:
		return old, false, nil
	case statement.ConflictDoUpdate:
		row, err := q.setValue(old, op.Value)
		return row, true, err
	}
	message := fmt.Sprintf("duplicate key value violates unique constraint \"%s_pkey\"", op.Table)
	return old, false, &statement.Error{Code: member.CodeDuplicate, Message: message}
}

// setValue updates the value of a row; excluded is the value of a conflicting insert.
func (q *query) setValue(old member.Row, excluded int64) (member.Row, error) {
	var sum int64
	for _, term := range q.st.Assignment {
		value := q.value(term.Operand).Int
		switch term.Operand.Column {
		case "value":
			value = old.Value
		case statement.ExcludedColumn:
			value = excluded
		}
		if term.Negative {
			value = -value
		}
		next := sum + value
		if (next > sum) != (value > 0) {
			return old, &statement.Error{Code: "22003", Message: "bigint out of range"}
		}
		sum = next
	}
	old.Value = sum
	q.transaction.AddOperation(member.Operation{
		Table: q.st.Table.Name, Identity: old.Identity, ID: old.ID, Key: old.Key, Value: old.Value,
	})
	return old, nil
}

func (q *query) update() (*result, error) {
	rows, err := q.findLocked()
	if err != nil {
		return nil, err
	}
	for i, row := range rows {
		if rows[i], err = q.setValue(row, 0); err != nil {
			return nil, err
		}
	}
	return q.commandResult("UPDATE", rows), nil
}

func (q *query) delete() (*result, error) {
	rows, err := q.findLocked()
	if err != nil {
		return nil, err
	}
	for _, row := range rows {
		q.transaction.AddOperation(member.Operation{
			Table: q.st.Table.Name, Identity: row.Identity, ID: row.ID, Key: row.Key, Delete: true,
		})
	}
	return q.commandResult("DELETE", rows), nil
}

package statement

import (
	"fmt"
	"slices"
)

func (p *parser) parseReturning() error {
	if !p.acceptWords("returning") {
		return nil
	}
	if err := p.parseOutputs(); err != nil {
		return err
	}
	for _, output := range p.stmt.Outputs {
		if output.Aggregate != "" {
			return &Error{Code: "42803", Message: "aggregate functions are not allowed in RETURNING"}
		}
	}
	return nil
}

func (p *parser) parseInsert() error {
	p.stmt.Kind = KindInsert
	if err := p.expectWords("into"); err != nil {
		return err
	}
	if err := p.parseTable(); err != nil {
		return err
	}
	if err := p.parseInsertColumns(); err != nil {
		return err
	}
	if err := p.expectWords("values"); err != nil {
		return err
	}
	for {
		if err := p.parseInsertRow(); err != nil {
			return err
		}
		if !p.acceptSymbol(",") {
			break
		}
	}
	if err := p.parseOnConflict(); err != nil {
		return err
	}
	return p.parseReturning()
}

// parseInsertColumns parses the column list of an INSERT, which must name every column of the table but the workspace.
func (p *parser) parseInsertColumns() error {
	if err := p.expectSymbol("("); err != nil {
		return err
	}
	for {
		column, err := p.parseColumn()
		if err != nil {
			return err
		}
		if column == workspaceColumn {
			return &Error{Code: "42501", Message: "the workspace of a row cannot be written"}
		}
		if slices.Contains(p.stmt.InsertColumns, column) {
			return &Error{Code: "42701", Message: fmt.Sprintf("column %q specified more than once", column)}
		}
		p.stmt.InsertColumns = append(p.stmt.InsertColumns, column)
		if !p.acceptSymbol(",") {
			break
		}
	}
	if len(p.stmt.InsertColumns) != len(p.stmt.Table.Columns) {
		return &Error{Code: "23502", Message: "an insert must give every column"}
	}
	return p.expectSymbol(")")
}

func (p *parser) parseInsertRow() error {
	if err := p.expectSymbol("("); err != nil {
		return err
	}
	var row []Operand
	for i, column := range p.stmt.InsertColumns {
		if i > 0 {
			if err := p.expectSymbol(","); err != nil {
				return err
			}
		}
		operand, err := p.parseOperand(columnType(column))
		if err != nil {
			return err
		}
		row = append(row, operand)
	}
	p.stmt.Rows = append(p.stmt.Rows, row)
	return p.expectSymbol(")")
}

// parseOnConflict parses an optional ON CONFLICT clause. Its target, when given, must be the unique column of the table.
func (p *parser) parseOnConflict() error {
	if !p.acceptWords("on", "conflict") {
		return nil
	}
	uniqueColumn := p.stmt.Table.UniqueColumn
	if p.acceptSymbol("(") {
		column, err := p.parseColumn()
		if err != nil {
			return err
		}
		if uniqueColumn == "" || column != uniqueColumn {
			return &Error{Code: "42P10", Message: "there is no unique constraint matching the ON CONFLICT specification"}
		}
		if err := p.expectSymbol(")"); err != nil {
			return err
		}
	}
	switch {
	case p.acceptWords("do", "nothing"):
		p.stmt.OnConflict = ConflictDoNothing
		return nil
	case p.acceptWords("do", "update", "set"):
		p.stmt.OnConflict = ConflictDoUpdate
		return p.parseAssignment()
	}
	return p.unexpectedToken()
}

func (p *parser) parseUpdate() error {
	p.stmt.Kind = KindUpdate
	if err := p.parseTable(); err != nil {
		return err
	}
	if p.stmt.Table.Name != "stock" {
		return unsupportedError("only stock can be updated")
	}
	if err := p.expectWords("set"); err != nil {
		return err
	}
	if err := p.parseAssignment(); err != nil {
		return err
	}
	if err := p.parseWhere(); err != nil {
		return err
	}
	return p.parseReturning()
}

// parseAssignment parses "value = " followed by a sum of columns, literals and parameters. The column value is the only
// one that can be assigned.
func (p *parser) parseAssignment() error {
	if err := p.expectWords("value"); err != nil {
		return err
	}
	if err := p.expectSymbol("="); err != nil {
		return err
	}
	negative := false
	for {
		operand, err := p.parseSumTerm()
		if err != nil {
			return err
		}
		p.stmt.Assignment = append(p.stmt.Assignment, SumTerm{Operand: operand, Negative: negative})
		switch {
		case p.acceptSymbol("+"):
			negative = false
		case p.acceptSymbol("-"):
			negative = true
		default:
			return nil
		}
	}
}

// parseSumTerm parses one operand of the sum. Only ON CONFLICT DO UPDATE may refer to excluded.value.
func (p *parser) parseSumTerm() (Operand, error) {
	if p.peek().kind != tokenWord {
		return p.parseOperand(TypeInt8)
	}
	if p.stmt.OnConflict == ConflictDoUpdate && p.acceptWords("excluded") {
		if err := p.expectSymbol("."); err != nil {
			return Operand{}, err
		}
		return Operand{Column: ExcludedColumn}, p.expectWords("value")
	}
	column, err := p.parseColumn()
	if err != nil {
		return Operand{}, err
	}
	if column != "value" {
		return Operand{}, &Error{Code: "42804", Message: fmt.Sprintf("column %q is no number", column)}
	}
	return Operand{Column: column}, nil
}

func (p *parser) parseDelete() error {
	p.stmt.Kind = KindDelete
	if err := p.expectWords("from"); err != nil {
		return err
	}
	if err := p.parseTable(); err != nil {
		return err
	}
	if err := p.parseWhere(); err != nil {
		return err
	}
	return p.parseReturning()
}

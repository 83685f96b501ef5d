package statement

import (
	"fmt"
	"slices"
)

func (p *parser) returning() error {
	if !p.word("returning") {
		return nil
	}
	if err := p.items(); err != nil {
		return err
	}
	for _, item := range p.s.Outputs {
		if item.Aggregate != "" {
			return &Error{Code: "42803", Message: "aggregate functions are not allowed in RETURNING"}
		}
	}
	return nil
}

func (p *parser) insert() error {
	p.s.Kind = KindInsert
	if err := p.expectWord("into"); err != nil {
		return err
	}
	if err := p.table(); err != nil {
		return err
	}
	if err := p.insertColumns(); err != nil {
		return err
	}
	if err := p.expectWord("values"); err != nil {
		return err
	}
	for {
		if err := p.insertRow(); err != nil {
			return err
		}
		if !p.symbol(",") {
			break
		}
	}
	if err := p.conflict(); err != nil {
		return err
	}
	return p.returning()
}

func (p *parser) insertColumns() error {
	if err := p.expectSymbol("("); err != nil {
		return err
	}
	for {
		column, err := p.column()
		if err != nil {
			return err
		}
		if column == workspaceColumn {
			return &Error{Code: "42501", Message: "the workspace of a row cannot be written"}
		}
		if slices.Contains(p.s.InsertColumns, column) {
			return &Error{Code: "42701", Message: fmt.Sprintf("column %q specified more than once", column)}
		}
		p.s.InsertColumns = append(p.s.InsertColumns, column)
		if !p.symbol(",") {
			break
		}
	}
	if len(p.s.InsertColumns) != len(p.s.Table.Columns) {
		return &Error{Code: "23502", Message: "an insert must give every column"}
	}
	return p.expectSymbol(")")
}

func (p *parser) insertRow() error {
	if err := p.expectSymbol("("); err != nil {
		return err
	}
	var row []Operand
	for i, column := range p.s.InsertColumns {
		if i > 0 {
			if err := p.expectSymbol(","); err != nil {
				return err
			}
		}
		operand, err := p.operand(columnType(column))
		if err != nil {
			return err
		}
		row = append(row, operand)
	}
	p.s.Rows = append(p.s.Rows, row)
	return p.expectSymbol(")")
}

func (p *parser) conflict() error {
	if !p.word("on", "conflict") {
		return nil
	}
	identity := p.s.Table.UniqueColumn
	if p.symbol("(") {
		column, err := p.column()
		if err != nil {
			return err
		}
		if identity == "" || column != identity {
			return &Error{Code: "42P10", Message: "there is no unique constraint matching the ON CONFLICT specification"}
		}
		if err := p.expectSymbol(")"); err != nil {
			return err
		}
	}
	switch {
	case p.word("do", "nothing"):
		p.s.OnConflict = ConflictDoNothing
		return nil
	case p.word("do", "update", "set"):
		p.s.OnConflict = ConflictDoUpdate
		return p.assignment()
	}
	return p.unexpected()
}

func (p *parser) update() error {
	p.s.Kind = KindUpdate
	if err := p.table(); err != nil {
		return err
	}
	if p.s.Table.Name != "stock" {
		return unsupported("only stock can be updated")
	}
	if err := p.expectWord("set"); err != nil {
		return err
	}
	if err := p.assignment(); err != nil {
		return err
	}
	if err := p.where(); err != nil {
		return err
	}
	return p.returning()
}

// assignment reads value = a sum of the value, literals and parameters.
func (p *parser) assignment() error {
	if err := p.expectWord("value"); err != nil {
		return err
	}
	if err := p.expectSymbol("="); err != nil {
		return err
	}
	negative := false
	for {
		operand, err := p.summand()
		if err != nil {
			return err
		}
		p.s.Assignment = append(p.s.Assignment, SumTerm{Operand: operand, Negative: negative})
		switch {
		case p.symbol("+"):
			negative = false
		case p.symbol("-"):
			negative = true
		default:
			return nil
		}
	}
}

func (p *parser) summand() (Operand, error) {
	if p.peek().kind != tokenWord {
		return p.operand(TypeInt8)
	}
	if p.s.OnConflict == ConflictDoUpdate && p.word("excluded") {
		if err := p.expectSymbol("."); err != nil {
			return Operand{}, err
		}
		return Operand{Column: ExcludedColumn}, p.expectWord("value")
	}
	column, err := p.column()
	if err != nil {
		return Operand{}, err
	}
	if column != "value" {
		return Operand{}, &Error{Code: "42804", Message: fmt.Sprintf("column %q is no number", column)}
	}
	return Operand{Column: column}, nil
}

func (p *parser) delete() error {
	p.s.Kind = KindDelete
	if err := p.expectWord("from"); err != nil {
		return err
	}
	if err := p.table(); err != nil {
		return err
	}
	if err := p.where(); err != nil {
		return err
	}
	return p.returning()
}

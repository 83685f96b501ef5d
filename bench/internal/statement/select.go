package statement

import (
	"slices"
)

func (p *parser) selectStatement() error {
	if tok := p.peek(); tok.kind == tokenNumber || tok.kind == tokenString || tok.kind == tokenParameter {
		return p.constant()
	}
	if p.call("pg_sleep") {
		return p.sleep()
	}
	if p.function() {
		return p.monitor()
	}
	if p.peek().text == "*" && p.at+2 < len(p.tokens) && p.tokens[p.at+1].text == "from" {
		p.at += 2
		if p.function() {
			return p.monitor()
		}
		p.at -= 2
	}
	return p.selectRows()
}

// constant reads SELECT 1 and its like.
func (p *parser) constant() error {
	p.s.Kind = KindConstant
	want := TypeInt8
	if p.peek().kind != tokenNumber {
		want = TypeText
	}
	operand, err := p.operand(want)
	p.s.Arguments = []Operand{operand}
	p.s.ResultColumns = []ResultColumn{{Name: "?column?", Type: want}}
	return err
}

// call takes a function's name when its opening parenthesis follows.
func (p *parser) call(name string) bool {
	if p.at+1 >= len(p.tokens) || p.tokens[p.at+1].text != "(" {
		return false
	}
	return p.word(name)
}

func (p *parser) sleep() error {
	p.s.Kind = KindSleep
	p.s.ResultColumns = []ResultColumn{{Name: "pg_sleep", Type: TypeText}}
	return p.arguments(TypeFloat8)
}

var statusColumns = []ResultColumn{
	{Name: "slot", Type: TypeInt8},
	{Name: "role", Type: TypeText},
	{Name: "term", Type: TypeInt8},
	{Name: "fenced", Type: TypeInt8},
	{Name: "received", Type: TypeInt8},
	{Name: "applied", Type: TypeInt8},
	{Name: "ageMs", Type: TypeInt8},
}

var functions = []struct {
	name      string
	kind      Kind
	arguments []Type
}{
	{"lentilwind_status", KindStatus, nil},
	{"lentilwind_wait", KindWait, []Type{TypeInt8, TypeInt8, TypeInt8}},
	{"lentilwind_fence", KindFence, []Type{TypeInt8, TypeInt8}},
	{"lentilwind_promote", KindPromote, []Type{TypeInt8, TypeInt8, TypeInt8}},
	{"lentilwind_follow", KindFollow, []Type{TypeInt8, TypeInt8, TypeText}},
}

// function takes the name of a monitoring function.
func (p *parser) function() bool {
	for _, f := range functions {
		if p.call(f.name) {
			p.s.Kind = f.kind
			return true
		}
	}
	return false
}

func (p *parser) monitor() error {
	p.s.ResultColumns = statusColumns
	for _, f := range functions {
		if f.kind == p.s.Kind {
			return p.arguments(f.arguments...)
		}
	}
	return p.unexpected()
}

func (p *parser) arguments(types ...Type) error {
	if err := p.expectSymbol("("); err != nil {
		return err
	}
	for i, t := range types {
		if i > 0 {
			if err := p.expectSymbol(","); err != nil {
				return err
			}
		}
		operand, err := p.operand(t)
		if err != nil {
			return err
		}
		p.s.Arguments = append(p.s.Arguments, operand)
	}
	return p.expectSymbol(")")
}

func (p *parser) selectRows() error {
	p.s.Kind = KindSelect
	if err := p.findTable(); err != nil {
		return err
	}
	if err := p.items(); err != nil {
		return err
	}
	if err := p.expectWord("from"); err != nil {
		return err
	}
	if err := p.table(); err != nil {
		return err
	}
	if err := p.where(); err != nil {
		return err
	}
	return p.tail()
}

// findTable reads the table ahead, since the result expressions need its columns.
func (p *parser) findTable() error {
	start := p.at
	defer func() { p.at = start }()
	for !p.atEnd() {
		if p.word("from") {
			return p.table()
		}
		p.at++
	}
	return unsupported("the stand-in database does not support this expression")
}

func (p *parser) items() error {
	if p.symbol("*") {
		for _, c := range p.s.Table.Columns {
			p.addItem(Output{Column: c}, c, columnType(c))
		}
		return nil
	}
	for {
		if err := p.item(); err != nil {
			return err
		}
		if !p.symbol(",") {
			return p.checkItems()
		}
	}
}

func (p *parser) item() error {
	if p.call("count") {
		p.addItem(Output{Aggregate: "count"}, "count", TypeInt8)
		p.symbol("(")
		if err := p.expectSymbol("*"); err != nil {
			return err
		}
		return p.expectSymbol(")")
	}
	if p.call("sum") {
		p.addItem(Output{Aggregate: "sum", Column: "value"}, "sum", TypeInt8)
		p.symbol("(")
		if err := p.expectWord("value"); err != nil {
			return err
		}
		return p.expectSymbol(")")
	}
	column, err := p.column()
	if err != nil {
		return err
	}
	p.addItem(Output{Column: column}, column, columnType(column))
	return nil
}

func (p *parser) addItem(item Output, name string, t Type) {
	p.s.Outputs = append(p.s.Outputs, item)
	p.s.ResultColumns = append(p.s.ResultColumns, ResultColumn{Name: name, Type: t})
}

func (p *parser) checkItems() error {
	aggregates := 0
	for _, item := range p.s.Outputs {
		if item.Aggregate != "" {
			aggregates++
		}
	}
	if aggregates > 0 && aggregates < len(p.s.Outputs) {
		return &Error{Code: "42803", Message: "columns beside aggregates are not supported"}
	}
	return nil
}

func (p *parser) where() error {
	if !p.word("where") {
		return nil
	}
	for {
		condition, err := p.condition()
		if err != nil {
			return err
		}
		p.s.Where = append(p.s.Where, condition)
		if !p.word("and") {
			return nil
		}
	}
}

func (p *parser) condition() (Condition, error) {
	column, err := p.column()
	if err != nil {
		return Condition{}, err
	}
	tok := p.next()
	if tok.kind != tokenSymbol || !slices.Contains([]string{"=", ">=", "<=", ">", "<", "<>", "!="}, tok.text) {
		p.at--
		return Condition{}, p.unexpected()
	}
	operand, err := p.operand(columnType(column))
	return Condition{Column: column, Operator: tok.text, Operand: operand}, err
}

func (p *parser) tail() error {
	if p.word("order", "by") {
		column, err := p.column()
		if err != nil {
			return err
		}
		p.s.OrderBy = column
		p.s.Descending = p.word("desc")
		if !p.s.Descending {
			p.word("asc")
		}
	}
	if p.word("limit") {
		tok := p.next()
		limit, err := literal(tok.text, TypeInt8)
		if tok.kind != tokenNumber || err != nil {
			return unsupported("LIMIT needs a number")
		}
		p.s.Limit = limit.Literal.Int
	}
	p.s.ForUpdate = p.word("for", "update")
	return nil
}

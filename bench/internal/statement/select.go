package statement

import (
	"slices"
)

func (p *parser) parseSelect() error {
	if tok := p.peek(); tok.kind == tokenNumber || tok.kind == tokenString || tok.kind == tokenParameter {
		return p.parseConstant()
	}
	if p.acceptFunctionName("pg_sleep") {
		return p.parseSleep()
	}
	if p.acceptMonitorFunction() {
		return p.parseMonitorCall()
	}
	if p.peek().text == "*" && p.pos+2 < len(p.tokens) && p.tokens[p.pos+1].text == "from" {
		p.pos += 2
		if p.acceptMonitorFunction() {
			return p.parseMonitorCall()
		}
		p.pos -= 2
	}
	return p.parseTableSelect()
}

// parseConstant parses a SELECT of one literal or parameter without a table, such as SELECT 1.
func (p *parser) parseConstant() error {
	p.stmt.Kind = KindConstant
	typ := TypeInt8
	if p.peek().kind != tokenNumber {
		typ = TypeText
	}
	operand, err := p.parseOperand(typ)
	p.stmt.Arguments = []Operand{operand}
	p.stmt.ResultColumns = []ResultColumn{{Name: "?column?", Type: typ}}
	return err
}

// acceptFunctionName consumes the given name if it comes next and is followed by an opening parenthesis.
func (p *parser) acceptFunctionName(name string) bool {
	if p.pos+1 >= len(p.tokens) || p.tokens[p.pos+1].text != "(" {
		return false
	}
	return p.acceptWords(name)
}

func (p *parser) parseSleep() error {
	p.stmt.Kind = KindSleep
	p.stmt.ResultColumns = []ResultColumn{{Name: "pg_sleep", Type: TypeText}}
	return p.parseArguments(TypeFloat8)
}

// statusColumns are the columns of the row that every monitoring function returns.
var statusColumns = []ResultColumn{
	{Name: "slot", Type: TypeInt8},
	{Name: "role", Type: TypeText},
	{Name: "term", Type: TypeInt8},
	{Name: "fenced", Type: TypeInt8},
	{Name: "received", Type: TypeInt8},
	{Name: "applied", Type: TypeInt8},
	{Name: "ageMs", Type: TypeInt8},
}

var monitorFunctions = []struct {
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

// acceptMonitorFunction consumes the name of a monitoring function if one comes next.
func (p *parser) acceptMonitorFunction() bool {
	for _, f := range monitorFunctions {
		if p.acceptFunctionName(f.name) {
			p.stmt.Kind = f.kind
			return true
		}
	}
	return false
}

func (p *parser) parseMonitorCall() error {
	p.stmt.ResultColumns = statusColumns
	for _, f := range monitorFunctions {
		if f.kind == p.stmt.Kind {
			return p.parseArguments(f.arguments...)
		}
	}
	return p.unexpectedToken()
}

func (p *parser) parseArguments(types ...Type) error {
	if err := p.expectSymbol("("); err != nil {
		return err
	}
	for i, t := range types {
		if i > 0 {
			if err := p.expectSymbol(","); err != nil {
				return err
			}
		}
		operand, err := p.parseOperand(t)
		if err != nil {
			return err
		}
		p.stmt.Arguments = append(p.stmt.Arguments, operand)
	}
	return p.expectSymbol(")")
}

func (p *parser) parseTableSelect() error {
	p.stmt.Kind = KindSelect
	if err := p.lookAheadForTable(); err != nil {
		return err
	}
	if err := p.parseOutputs(); err != nil {
		return err
	}
	if err := p.expectWords("from"); err != nil {
		return err
	}
	if err := p.parseTable(); err != nil {
		return err
	}
	if err := p.parseWhere(); err != nil {
		return err
	}
	return p.parseSelectTail()
}

// lookAheadForTable parses the table name after FROM without consuming it, because the output expressions before it are
// checked against its columns.
func (p *parser) lookAheadForTable() error {
	start := p.pos
	defer func() { p.pos = start }()
	for !p.atEnd() {
		if p.acceptWords("from") {
			return p.parseTable()
		}
		p.pos++
	}
	return unsupportedError("the stand-in database does not support this expression")
}

func (p *parser) parseOutputs() error {
	if p.acceptSymbol("*") {
		for _, c := range p.stmt.Table.Columns {
			p.addOutput(Output{Column: c}, c, columnType(c))
		}
		return nil
	}
	for {
		if err := p.parseOutput(); err != nil {
			return err
		}
		if !p.acceptSymbol(",") {
			return p.checkAggregates()
		}
	}
}

func (p *parser) parseOutput() error {
	if p.acceptFunctionName("count") {
		p.addOutput(Output{Aggregate: "count"}, "count", TypeInt8)
		p.acceptSymbol("(")
		if err := p.expectSymbol("*"); err != nil {
			return err
		}
		return p.expectSymbol(")")
	}
	if p.acceptFunctionName("sum") {
		p.addOutput(Output{Aggregate: "sum", Column: "value"}, "sum", TypeInt8)
		p.acceptSymbol("(")
		if err := p.expectWords("value"); err != nil {
			return err
		}
		return p.expectSymbol(")")
	}
	column, err := p.parseColumn()
	if err != nil {
		return err
	}
	p.addOutput(Output{Column: column}, column, columnType(column))
	return nil
}

func (p *parser) addOutput(output Output, name string, t Type) {
	p.stmt.Outputs = append(p.stmt.Outputs, output)
	p.stmt.ResultColumns = append(p.stmt.ResultColumns, ResultColumn{Name: name, Type: t})
}

// checkAggregates rejects a list that mixes aggregates and columns, as there is no GROUP BY.
func (p *parser) checkAggregates() error {
	aggregates := 0
	for _, output := range p.stmt.Outputs {
		if output.Aggregate != "" {
			aggregates++
		}
	}
	if aggregates > 0 && aggregates < len(p.stmt.Outputs) {
		return &Error{Code: "42803", Message: "columns beside aggregates are not supported"}
	}
	return nil
}

func (p *parser) parseWhere() error {
	if !p.acceptWords("where") {
		return nil
	}
	for {
		condition, err := p.parseCondition()
		if err != nil {
			return err
		}
		p.stmt.Where = append(p.stmt.Where, condition)
		if !p.acceptWords("and") {
			return nil
		}
	}
}

func (p *parser) parseCondition() (Condition, error) {
	column, err := p.parseColumn()
	if err != nil {
		return Condition{}, err
	}
	tok := p.next()
	if tok.kind != tokenSymbol || !slices.Contains([]string{"=", ">=", "<=", ">", "<", "<>", "!="}, tok.text) {
		p.pos--
		return Condition{}, p.unexpectedToken()
	}
	operand, err := p.parseOperand(columnType(column))
	return Condition{Column: column, Operator: tok.text, Operand: operand}, err
}

// parseSelectTail parses the optional ORDER BY, LIMIT and FOR UPDATE clauses.
func (p *parser) parseSelectTail() error {
	if p.acceptWords("order", "by") {
		column, err := p.parseColumn()
		if err != nil {
			return err
		}
		p.stmt.OrderBy = column
		p.stmt.Descending = p.acceptWords("desc")
		if !p.stmt.Descending {
			p.acceptWords("asc")
		}
	}
	if p.acceptWords("limit") {
		tok := p.next()
		limit, err := parseLiteral(tok.text, TypeInt8)
		if tok.kind != tokenNumber || err != nil {
			return unsupportedError("LIMIT needs a number")
		}
		p.stmt.Limit = limit.Literal.Int
	}
	p.stmt.ForUpdate = p.acceptWords("for", "update")
	return nil
}

package statement

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Parse parses every statement of a semicolon-separated text. Empty text returns no statements.
func Parse(text string) ([]*Statement, error) {
	tokens, err := tokenize(text)
	if err != nil {
		return nil, err
	}
	p := &parser{text: text, tokens: tokens}
	var statements []*Statement
	for {
		for p.acceptSymbol(";") {
			p.statementStart = p.previous().end
		}
		if p.peek().kind == tokenEnd {
			return statements, nil
		}
		stmt, err := p.parseStatement()
		if err != nil {
			return nil, err
		}
		statements = append(statements, stmt)
	}
}

// parser is a recursive-descent parser over the tokens of a text.
type parser struct {
	text   string
	tokens []token
	pos    int
	// statementStart is the offset in text at which the current statement begins.
	statementStart int
	stmt           *Statement
}

func (p *parser) peek() token { return p.tokens[p.pos] }

func (p *parser) previous() token { return p.tokens[p.pos-1] }

func (p *parser) next() token {
	tok := p.tokens[p.pos]
	if tok.kind != tokenEnd {
		p.pos++
	}
	return tok
}

// acceptWords consumes the given words if all of them come next, and reports whether they did.
func (p *parser) acceptWords(words ...string) bool {
	for i, w := range words {
		if p.pos+i >= len(p.tokens) || p.tokens[p.pos+i].kind != tokenWord || p.tokens[p.pos+i].text != w {
			return false
		}
	}
	p.pos += len(words)
	return true
}

func (p *parser) acceptSymbol(text string) bool {
	if tok := p.peek(); tok.kind != tokenSymbol || tok.text != text {
		return false
	}
	p.pos++
	return true
}

func (p *parser) expectSymbol(text string) error {
	if p.acceptSymbol(text) {
		return nil
	}
	return p.unexpectedToken()
}

func (p *parser) expectWords(words ...string) error {
	if p.acceptWords(words...) {
		return nil
	}
	return p.unexpectedToken()
}

func (p *parser) unexpectedToken() error {
	tok := p.peek()
	if tok.kind == tokenEnd {
		return syntaxError("syntax error at end of input")
	}
	return syntaxError(fmt.Sprintf("syntax error at or near %q", p.text[tok.start:tok.end]))
}

func (p *parser) atEnd() bool {
	tok := p.peek()
	return tok.kind == tokenEnd || tok.kind == tokenSymbol && tok.text == ";"
}

func (p *parser) parseStatement() (*Statement, error) {
	p.stmt = &Statement{Limit: -1}
	if err := p.parseStatementBody(); err != nil {
		return nil, err
	}
	if !p.atEnd() {
		return nil, p.unexpectedToken()
	}
	p.stmt.Text = strings.TrimSpace(p.text[p.statementStart:p.previous().end])
	p.statementStart = p.previous().end
	for i, t := range p.stmt.ParameterTypes {
		if t == "" {
			return nil, &Error{Code: "42P18", Message: fmt.Sprintf("could not determine data type of parameter $%d", i+1)}
		}
	}
	return p.stmt, nil
}

func (p *parser) parseStatementBody() error {
	switch {
	case p.acceptWords("select"):
		return p.parseSelect()
	case p.acceptWords("insert"):
		return p.parseInsert()
	case p.acceptWords("update"):
		return p.parseUpdate()
	case p.acceptWords("delete"):
		return p.parseDelete()
	case p.acceptWords("set"):
		return p.parseSet()
	case p.acceptWords("show"):
		return p.parseShow()
	case p.acceptWords("discard", "all"):
		p.stmt.Kind = KindDiscard
		return nil
	case p.acceptWords("deallocate"):
		return p.parseDeallocate()
	}
	return p.parseTransaction()
}

func (p *parser) parseTransaction() error {
	switch {
	case p.acceptWords("begin"), p.acceptWords("start", "transaction"):
		p.stmt.Kind = KindBegin
		p.skipTransactionKeyword()
		return p.parseTransactionModes()
	case p.acceptWords("commit"), p.acceptWords("end"):
		p.stmt.Kind = KindCommit
		p.skipTransactionKeyword()
		return nil
	case p.acceptWords("rollback"), p.acceptWords("abort"):
		p.stmt.Kind = KindRollback
		p.skipTransactionKeyword()
		return nil
	}
	if tok := p.peek(); tok.kind == tokenWord {
		return unsupportedError(fmt.Sprintf("the stand-in database does not support %s", strings.ToUpper(tok.text)))
	}
	return p.unexpectedToken()
}

// skipTransactionKeyword skips the optional TRANSACTION or WORK after BEGIN, COMMIT and ROLLBACK.
func (p *parser) skipTransactionKeyword() {
	if !p.acceptWords("transaction") {
		p.acceptWords("work")
	}
}

func (p *parser) parseTransactionModes() error {
	for !p.atEnd() {
		switch {
		case p.acceptWords("read", "only"):
			p.stmt.ReadOnly = true
		case p.acceptWords("read", "write"):
			p.stmt.ReadOnly = false
		case p.acceptWords("isolation", "level", "read", "committed"):
		case p.acceptWords("isolation"):
			return unsupportedError("only the isolation level READ COMMITTED is supported")
		default:
			return p.unexpectedToken()
		}
		p.acceptSymbol(",")
	}
	return nil
}

func (p *parser) parseSet() error {
	p.stmt.Kind = KindSet
	p.acceptWords("session")
	name, err := p.parseQualifiedName()
	if err != nil {
		return err
	}
	p.stmt.Name = name
	if !p.acceptSymbol("=") && !p.acceptWords("to") {
		return p.unexpectedToken()
	}
	tok := p.next()
	if tok.kind != tokenString && tok.kind != tokenWord && tok.kind != tokenNumber {
		p.pos--
		return p.unexpectedToken()
	}
	p.stmt.SettingValue = tok.text
	return nil
}

func (p *parser) parseShow() error {
	p.stmt.Kind = KindShow
	name, err := p.parseQualifiedName()
	if err != nil {
		return err
	}
	p.stmt.Name = name
	p.stmt.ResultColumns = []ResultColumn{{Name: name, Type: TypeText}}
	return nil
}

func (p *parser) parseDeallocate() error {
	p.stmt.Kind = KindDeallocate
	p.acceptWords("prepare")
	if p.acceptWords("all") {
		return nil
	}
	name, err := p.parseName()
	p.stmt.Name = name
	return err
}

func (p *parser) parseName() (string, error) {
	if p.peek().kind != tokenWord {
		return "", p.unexpectedToken()
	}
	return p.next().text, nil
}

func (p *parser) parseQualifiedName() (string, error) {
	name, err := p.parseName()
	if err != nil || !p.acceptSymbol(".") {
		return name, err
	}
	suffix, err := p.parseName()
	return name + "." + suffix, err
}

func (p *parser) parseTable() error {
	name, err := p.parseName()
	if err != nil {
		return err
	}
	table, ok := tables[name]
	if !ok {
		return &Error{Code: "42P01", Message: fmt.Sprintf("relation %q does not exist", name)}
	}
	p.stmt.Table = table
	return nil
}

// parseColumn parses a column name, which may be qualified with the name of the statement's table.
func (p *parser) parseColumn() (string, error) {
	name, err := p.parseName()
	if err != nil {
		return "", err
	}
	if p.acceptSymbol(".") {
		if name != p.stmt.Table.Name {
			return "", &Error{Code: "42P01", Message: fmt.Sprintf("missing FROM-clause entry for table %q", name)}
		}
		if name, err = p.parseName(); err != nil {
			return "", err
		}
	}
	return name, p.checkColumn(name)
}

func (p *parser) checkColumn(name string) error {
	if name == workspaceColumn || slices.Contains(p.stmt.Table.Columns, name) {
		return nil
	}
	return &Error{Code: "42703", Message: fmt.Sprintf("column %q does not exist", name)}
}

// parseOperand parses a literal or a parameter of the given type, with any casts that follow it.
func (p *parser) parseOperand(typ Type) (Operand, error) {
	negative := p.acceptSymbol("-")
	tok := p.next()
	operand, err := p.parseOperandToken(tok, typ, negative)
	if err != nil {
		return Operand{}, err
	}
	return operand, p.parseCasts(typ)
}

func (p *parser) parseOperandToken(tok token, typ Type, negative bool) (Operand, error) {
	switch tok.kind {
	case tokenParameter:
		if !negative {
			return p.parseParameter(tok.text, typ)
		}
	case tokenString:
		if !negative {
			return parseLiteral(tok.text, typ)
		}
	case tokenNumber:
		if typ == TypeText {
			return Operand{}, &Error{Code: "42804", Message: fmt.Sprintf("%s is no text", tok.text)}
		}
		if negative {
			return parseLiteral("-"+tok.text, typ)
		}
		return parseLiteral(tok.text, typ)
	case tokenSymbol:
		if tok.text == "(" {
			inner, err := p.parseOperand(typ)
			if err != nil {
				return Operand{}, err
			}
			if negative {
				return Operand{}, unsupportedError("a negated expression is not supported")
			}
			return inner, p.expectSymbol(")")
		}
	}
	if tok.kind != tokenEnd {
		p.pos--
	}
	return Operand{}, p.unexpectedToken()
}

// parseParameter records the type of a parameter. Every use of one parameter must have the same type.
func (p *parser) parseParameter(digits string, typ Type) (Operand, error) {
	n, err := strconv.Atoi(digits)
	if err != nil || n < 1 || n > maxParameters {
		return Operand{}, &Error{Code: "42P02", Message: "there is no parameter $" + digits}
	}
	for len(p.stmt.ParameterTypes) < n {
		p.stmt.ParameterTypes = append(p.stmt.ParameterTypes, "")
	}
	if known := p.stmt.ParameterTypes[n-1]; known != "" && known != typ {
		return Operand{}, &Error{Code: "42P08", Message: "inconsistent types deduced for parameter $" + digits}
	}
	p.stmt.ParameterTypes[n-1] = typ
	return Operand{Parameter: n}, nil
}

// maxParameters is the largest parameter number; the PostgreSQL protocol counts parameters in 16 bits.
const maxParameters = 65535

func parseLiteral(text string, typ Type) (Operand, error) {
	v, err := ParseValue(text, typ)
	return Operand{Literal: v}, err
}

var castTypes = map[string]Type{
	"text": TypeText, "bigint": TypeInt8, "int8": TypeInt8, "float8": TypeFloat8, "boolean": TypeBool, "bool": TypeBool,
}

// parseCasts skips casts to the type that the value already has; other casts are rejected.
func (p *parser) parseCasts(typ Type) error {
	for p.acceptSymbol("::") {
		name, err := p.parseName()
		if err != nil {
			return err
		}
		if castTypes[name] != typ {
			return unsupportedError(fmt.Sprintf("a cast from %s to %s is not supported", typ, name))
		}
	}
	return nil
}

// ParseValue parses the text representation of a value.
func ParseValue(text string, typ Type) (Value, error) {
	var err error
	v := Value{Type: typ}
	switch typ {
	case TypeText:
		v.Text = text
	case TypeInt8:
		v.Int, err = strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	case TypeFloat8:
		v.Float, err = strconv.ParseFloat(strings.TrimSpace(text), 64)
	case TypeBool:
		v.Bool, err = strconv.ParseBool(strings.TrimSpace(text))
	}
	if err != nil {
		return Value{}, &Error{Code: "22P02", Message: fmt.Sprintf("invalid input syntax for type %s: %q", typ, text)}
	}
	return v, nil
}

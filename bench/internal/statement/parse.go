package statement

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Parse splits a text into statements and reads each; an empty text gives none.
func Parse(text string) ([]*Statement, error) {
	tokens, err := tokenize(text)
	if err != nil {
		return nil, err
	}
	p := &parser{text: text, tokens: tokens}
	var statements []*Statement
	for {
		for p.symbol(";") {
			p.from = p.previous().end
		}
		if p.peek().kind == tokenEnd {
			return statements, nil
		}
		s, err := p.statement()
		if err != nil {
			return nil, err
		}
		statements = append(statements, s)
	}
}

// parser reads statements from tokens.
type parser struct {
	text   string
	tokens []token
	at     int
	// from is where the text of the current statement begins.
	from int
	s    *Statement
}

func (p *parser) peek() token { return p.tokens[p.at] }

func (p *parser) previous() token { return p.tokens[p.at-1] }

func (p *parser) next() token {
	tok := p.tokens[p.at]
	if tok.kind != tokenEnd {
		p.at++
	}
	return tok
}

// word takes the given words when all of them follow.
func (p *parser) word(words ...string) bool {
	for i, w := range words {
		if p.at+i >= len(p.tokens) || p.tokens[p.at+i].kind != tokenWord || p.tokens[p.at+i].text != w {
			return false
		}
	}
	p.at += len(words)
	return true
}

func (p *parser) symbol(text string) bool {
	if tok := p.peek(); tok.kind != tokenSymbol || tok.text != text {
		return false
	}
	p.at++
	return true
}

func (p *parser) expectSymbol(text string) error {
	if p.symbol(text) {
		return nil
	}
	return p.unexpected()
}

func (p *parser) expectWord(words ...string) error {
	if p.word(words...) {
		return nil
	}
	return p.unexpected()
}

func (p *parser) unexpected() error {
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

func (p *parser) statement() (*Statement, error) {
	p.s = &Statement{Limit: -1}
	if err := p.body(); err != nil {
		return nil, err
	}
	if !p.atEnd() {
		return nil, p.unexpected()
	}
	p.s.Text = strings.TrimSpace(p.text[p.from:p.previous().end])
	p.from = p.previous().end
	for i, t := range p.s.ParameterTypes {
		if t == "" {
			return nil, &Error{Code: "42P18", Message: fmt.Sprintf("could not determine data type of parameter $%d", i+1)}
		}
	}
	return p.s, nil
}

func (p *parser) body() error {
	switch {
	case p.word("select"):
		return p.selectStatement()
	case p.word("insert"):
		return p.insert()
	case p.word("update"):
		return p.update()
	case p.word("delete"):
		return p.delete()
	case p.word("set"):
		return p.set()
	case p.word("show"):
		return p.show()
	case p.word("discard", "all"):
		p.s.Kind = KindDiscard
		return nil
	case p.word("deallocate"):
		return p.deallocate()
	}
	return p.transaction()
}

func (p *parser) transaction() error {
	switch {
	case p.word("begin"), p.word("start", "transaction"):
		p.s.Kind = KindBegin
		p.noiseWord()
		return p.transactionModes()
	case p.word("commit"), p.word("end"):
		p.s.Kind = KindCommit
		p.noiseWord()
		return nil
	case p.word("rollback"), p.word("abort"):
		p.s.Kind = KindRollback
		p.noiseWord()
		return nil
	}
	if tok := p.peek(); tok.kind == tokenWord {
		return unsupported(fmt.Sprintf("the stand-in database does not support %s", strings.ToUpper(tok.text)))
	}
	return p.unexpected()
}

func (p *parser) noiseWord() {
	if !p.word("transaction") {
		p.word("work")
	}
}

func (p *parser) transactionModes() error {
	for !p.atEnd() {
		switch {
		case p.word("read", "only"):
			p.s.ReadOnly = true
		case p.word("read", "write"):
			p.s.ReadOnly = false
		case p.word("isolation", "level", "read", "committed"):
		case p.word("isolation"):
			return unsupported("only the isolation level READ COMMITTED is supported")
		default:
			return p.unexpected()
		}
		p.symbol(",")
	}
	return nil
}

func (p *parser) set() error {
	p.s.Kind = KindSet
	p.word("session")
	name, err := p.dottedName()
	if err != nil {
		return err
	}
	p.s.Name = name
	if !p.symbol("=") && !p.word("to") {
		return p.unexpected()
	}
	tok := p.next()
	if tok.kind != tokenString && tok.kind != tokenWord && tok.kind != tokenNumber {
		p.at--
		return p.unexpected()
	}
	p.s.SettingValue = tok.text
	return nil
}

func (p *parser) show() error {
	p.s.Kind = KindShow
	name, err := p.dottedName()
	if err != nil {
		return err
	}
	p.s.Name = name
	p.s.ResultColumns = []ResultColumn{{Name: name, Type: TypeText}}
	return nil
}

func (p *parser) deallocate() error {
	p.s.Kind = KindDeallocate
	p.word("prepare")
	if p.word("all") {
		return nil
	}
	name, err := p.name()
	p.s.Name = name
	return err
}

func (p *parser) name() (string, error) {
	if p.peek().kind != tokenWord {
		return "", p.unexpected()
	}
	return p.next().text, nil
}

func (p *parser) dottedName() (string, error) {
	name, err := p.name()
	if err != nil || !p.symbol(".") {
		return name, err
	}
	rest, err := p.name()
	return name + "." + rest, err
}

func (p *parser) table() error {
	name, err := p.name()
	if err != nil {
		return err
	}
	table, ok := tables[name]
	if !ok {
		return &Error{Code: "42P01", Message: fmt.Sprintf("relation %q does not exist", name)}
	}
	p.s.Table = table
	return nil
}

// column reads the name of a column that can be read.
func (p *parser) column() (string, error) {
	name, err := p.name()
	if err != nil {
		return "", err
	}
	if p.symbol(".") {
		if name != p.s.Table.Name {
			return "", &Error{Code: "42P01", Message: fmt.Sprintf("missing FROM-clause entry for table %q", name)}
		}
		if name, err = p.name(); err != nil {
			return "", err
		}
	}
	return name, p.checkColumn(name)
}

func (p *parser) checkColumn(name string) error {
	if name == workspaceColumn || slices.Contains(p.s.Table.Columns, name) {
		return nil
	}
	return &Error{Code: "42703", Message: fmt.Sprintf("column %q does not exist", name)}
}

// operand reads a literal or a parameter of the given type.
func (p *parser) operand(want Type) (Operand, error) {
	negative := p.symbol("-")
	tok := p.next()
	operand, err := p.operandOf(tok, want, negative)
	if err != nil {
		return Operand{}, err
	}
	return operand, p.cast(want)
}

func (p *parser) operandOf(tok token, want Type, negative bool) (Operand, error) {
	switch tok.kind {
	case tokenParameter:
		if !negative {
			return p.parameter(tok.text, want)
		}
	case tokenString:
		if !negative {
			return literal(tok.text, want)
		}
	case tokenNumber:
		if want == TypeText {
			return Operand{}, &Error{Code: "42804", Message: fmt.Sprintf("%s is no text", tok.text)}
		}
		if negative {
			return literal("-"+tok.text, want)
		}
		return literal(tok.text, want)
	case tokenSymbol:
		if tok.text == "(" {
			inner, err := p.operand(want)
			if err != nil {
				return Operand{}, err
			}
			if negative {
				return Operand{}, unsupported("a negated expression is not supported")
			}
			return inner, p.expectSymbol(")")
		}
	}
	if tok.kind != tokenEnd {
		p.at--
	}
	return Operand{}, p.unexpected()
}

func (p *parser) parameter(digits string, want Type) (Operand, error) {
	n, err := strconv.Atoi(digits)
	if err != nil || n < 1 || n > maxParameters {
		return Operand{}, &Error{Code: "42P02", Message: "there is no parameter $" + digits}
	}
	for len(p.s.ParameterTypes) < n {
		p.s.ParameterTypes = append(p.s.ParameterTypes, "")
	}
	if known := p.s.ParameterTypes[n-1]; known != "" && known != want {
		return Operand{}, &Error{Code: "42P08", Message: "inconsistent types deduced for parameter $" + digits}
	}
	p.s.ParameterTypes[n-1] = want
	return Operand{Parameter: n}, nil
}

const maxParameters = 65535

func literal(text string, want Type) (Operand, error) {
	v, err := ParseValue(text, want)
	return Operand{Literal: v}, err
}

var castNames = map[string]Type{
	"text": TypeText, "bigint": TypeInt8, "int8": TypeInt8, "float8": TypeFloat8, "boolean": TypeBool, "bool": TypeBool,
}

// cast skips a cast to the type that the value has anyway.
func (p *parser) cast(want Type) error {
	for p.symbol("::") {
		name, err := p.name()
		if err != nil {
			return err
		}
		if castNames[name] != want {
			return unsupported(fmt.Sprintf("a cast from %s to %s is not supported", want, name))
		}
	}
	return nil
}

// ParseValue reads the text form of a value.
func ParseValue(text string, want Type) (Value, error) {
	var err error
	v := Value{Type: want}
	switch want {
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
		return Value{}, &Error{Code: "22P02", Message: fmt.Sprintf("invalid input syntax for type %s: %q", want, text)}
	}
	return v, nil
}

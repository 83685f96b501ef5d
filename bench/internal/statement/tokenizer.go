package statement

import "strings"

// tokenKind tells the lexical classes apart.
type tokenKind string

const (
	tokenWord      tokenKind = "word"
	tokenString    tokenKind = "string"
	tokenNumber    tokenKind = "number"
	tokenParameter tokenKind = "parameter"
	tokenSymbol    tokenKind = "symbol"
	tokenEnd       tokenKind = "end"
)

// token is one lexical element; text is lower case for words and unquoted for strings.
type token struct {
	kind  tokenKind
	text  string
	start int
	end   int
}

// tokenizer splits SQL into tokens and skips white space and comments.
type tokenizer struct {
	text   string
	offset int
}

func tokenize(text string) ([]token, error) {
	t := tokenizer{text: text}
	var tokens []token
	for {
		if err := t.skipBlank(); err != nil {
			return nil, err
		}
		tok, err := t.next()
		if err != nil {
			return nil, err
		}
		tokens = append(tokens, tok)
		if tok.kind == tokenEnd {
			return tokens, nil
		}
	}
}

func (t *tokenizer) rest() string { return t.text[t.offset:] }

func (t *tokenizer) skipBlank() error {
	for t.offset < len(t.text) {
		rest := t.rest()
		switch {
		case strings.ContainsRune(" \t\r\n\f\v", rune(rest[0])):
			t.offset++
		case strings.HasPrefix(rest, "--"):
			t.skipLine()
		case strings.HasPrefix(rest, "/*"):
			if err := t.skipBlock(); err != nil {
				return err
			}
		default:
			return nil
		}
	}
	return nil
}

func (t *tokenizer) skipLine() {
	if i := strings.IndexByte(t.rest(), '\n'); i >= 0 {
		t.offset += i + 1
		return
	}
	t.offset = len(t.text)
}

// skipBlock skips a block comment; PostgreSQL lets them nest.
func (t *tokenizer) skipBlock() error {
	depth := 0
	for t.offset < len(t.text) {
		switch {
		case strings.HasPrefix(t.rest(), "/*"):
			depth++
			t.offset += 2
		case strings.HasPrefix(t.rest(), "*/"):
			depth--
			t.offset += 2
		default:
			t.offset++
		}
		if depth == 0 {
			return nil
		}
	}
	return syntaxError("unterminated /* comment")
}

func (t *tokenizer) next() (token, error) {
	start := t.offset
	if start == len(t.text) {
		return token{kind: tokenEnd, start: start, end: start}, nil
	}
	c := t.text[start]
	switch {
	case isLetter(c):
		word := t.take(func(c byte) bool { return isLetter(c) || isDigit(c) || c == '$' })
		return t.token(tokenWord, strings.ToLower(word), start), nil
	case isDigit(c):
		return t.token(tokenNumber, t.take(func(c byte) bool { return isDigit(c) || c == '.' }), start), nil
	case c == '\'':
		return t.quoted(tokenString, '\'')
	case c == '"':
		return t.quoted(tokenWord, '"')
	case c == '$':
		t.offset++
		digits := t.take(isDigit)
		if digits == "" {
			return token{}, syntaxError("dollar quotes are not supported")
		}
		return t.token(tokenParameter, digits, start), nil
	}
	return t.symbol(start)
}

func (t *tokenizer) symbol(start int) (token, error) {
	for _, s := range []string{"::", ">=", "<=", "<>", "!="} {
		if strings.HasPrefix(t.rest(), s) {
			t.offset += len(s)
			return t.token(tokenSymbol, s, start), nil
		}
	}
	if !strings.ContainsRune("(),;*=+-<>.", rune(t.text[start])) {
		return token{}, syntaxError("unexpected character " + t.text[start:start+1])
	}
	t.offset++
	return t.token(tokenSymbol, t.text[start:t.offset], start), nil
}

// quoted reads a quoted text in which a doubled quote stands for one.
func (t *tokenizer) quoted(kind tokenKind, quote byte) (token, error) {
	start := t.offset
	t.offset++
	var b strings.Builder
	for t.offset < len(t.text) {
		c := t.text[t.offset]
		t.offset++
		if c != quote {
			b.WriteByte(c)
			continue
		}
		if t.offset == len(t.text) || t.text[t.offset] != quote {
			return t.token(kind, b.String(), start), nil
		}
		b.WriteByte(quote)
		t.offset++
	}
	return token{}, syntaxError("unterminated quoted text")
}

func (t *tokenizer) take(accept func(byte) bool) string {
	start := t.offset
	for t.offset < len(t.text) && accept(t.text[t.offset]) {
		t.offset++
	}
	return t.text[start:t.offset]
}

func (t *tokenizer) token(kind tokenKind, text string, start int) token {
	return token{kind: kind, text: text, start: start, end: t.offset}
}

func isLetter(c byte) bool {
	return c == '_' || c >= 0x80 || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

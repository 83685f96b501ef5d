package statement

import "strings"

// tokenKind is the lexical class of a token.
type tokenKind string

const (
	tokenWord      tokenKind = "word"
	tokenString    tokenKind = "string"
	tokenNumber    tokenKind = "number"
	tokenParameter tokenKind = "parameter"
	tokenSymbol    tokenKind = "symbol"
	tokenEnd       tokenKind = "end"
)

// token is one lexical element of the text from start to end. The token's own text is in lower case for unquoted words
// and without quotes for strings and quoted words.
type token struct {
	kind  tokenKind
	text  string
	start int
	end   int
}

// tokenizer splits SQL into tokens. It skips white space and comments.
type tokenizer struct {
	text   string
	offset int
}

func tokenize(text string) ([]token, error) {
	t := tokenizer{text: text}
	var tokens []token
	for {
		if err := t.skipSpaceAndComments(); err != nil {
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

func (t *tokenizer) remaining() string { return t.text[t.offset:] }

func (t *tokenizer) skipSpaceAndComments() error {
	for t.offset < len(t.text) {
		rest := t.remaining()
		switch {
		case strings.ContainsRune(" \t\r\n\f\v", rune(rest[0])):
			t.offset++
		case strings.HasPrefix(rest, "--"):
			t.skipLineComment()
		case strings.HasPrefix(rest, "/*"):
			if err := t.skipBlockComment(); err != nil {
				return err
			}
		default:
			return nil
		}
	}
	return nil
}

func (t *tokenizer) skipLineComment() {
	if i := strings.IndexByte(t.remaining(), '\n'); i >= 0 {
		t.offset += i + 1
		return
	}
	t.offset = len(t.text)
}

// skipBlockComment skips a block comment. As in PostgreSQL, block comments may nest.
func (t *tokenizer) skipBlockComment() error {
	depth := 0
	for t.offset < len(t.text) {
		switch {
		case strings.HasPrefix(t.remaining(), "/*"):
			depth++
			t.offset += 2
		case strings.HasPrefix(t.remaining(), "*/"):
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
	case isIdentifierStart(c):
		word := t.takeWhile(func(c byte) bool { return isIdentifierStart(c) || isDigit(c) || c == '$' })
		return t.newToken(tokenWord, strings.ToLower(word), start), nil
	case isDigit(c):
		return t.newToken(tokenNumber, t.takeWhile(func(c byte) bool { return isDigit(c) || c == '.' }), start), nil
	case c == '\'':
		return t.readQuoted(tokenString, '\'')
	case c == '"':
		return t.readQuoted(tokenWord, '"')
	case c == '$':
		t.offset++
		digits := t.takeWhile(isDigit)
		if digits == "" {
			return token{}, syntaxError("dollar quotes are not supported")
		}
		return t.newToken(tokenParameter, digits, start), nil
	}
	return t.readSymbol(start)
}

func (t *tokenizer) readSymbol(start int) (token, error) {
	for _, s := range []string{"::", ">=", "<=", "<>", "!="} {
		if strings.HasPrefix(t.remaining(), s) {
			t.offset += len(s)
			return t.newToken(tokenSymbol, s, start), nil
		}
	}
	if !strings.ContainsRune("(),;*=+-<>.", rune(t.text[start])) {
		return token{}, syntaxError("unexpected character " + t.text[start:start+1])
	}
	t.offset++
	return t.newToken(tokenSymbol, t.text[start:t.offset], start), nil
}

// readQuoted reads a quoted string or identifier, in which two quotes stand for one.
func (t *tokenizer) readQuoted(kind tokenKind, quote byte) (token, error) {
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
			return t.newToken(kind, b.String(), start), nil
		}
		b.WriteByte(quote)
		t.offset++
	}
	return token{}, syntaxError("unterminated quoted text")
}

func (t *tokenizer) takeWhile(accept func(byte) bool) string {
	start := t.offset
	for t.offset < len(t.text) && accept(t.text[t.offset]) {
		t.offset++
	}
	return t.text[start:t.offset]
}

func (t *tokenizer) newToken(kind tokenKind, text string, start int) token {
	return token{kind: kind, text: text, start: start, end: t.offset}
}

func isIdentifierStart(c byte) bool {
	return c == '_' || c >= 0x80 || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

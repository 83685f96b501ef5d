package relay

import (
	"bytes"
	"unsafe"
)

// Keyword returns the first word of a statement in the caller's spelling and what follows it; comments are skipped.
func Keyword(text []byte) (word, rest []byte) {
	text = skipSpace(text)
	n := 0
	for n < len(text) && isLetter(text[n]) {
		n++
	}
	return text[:n], text[n:]
}

func isLetter(b byte) bool {
	b |= caseBit
	return 'a' <= b && b <= 'z'
}

// skipSpace cuts white space and comments off the front; a comment that does not end is left.
func skipSpace(text []byte) []byte {
	for {
		text = bytes.TrimLeft(text, " \t\r\n\f")
		switch {
		case bytes.HasPrefix(text, []byte("--")):
			end := bytes.IndexByte(text, '\n')
			if end < 0 {
				return nil
			}
			text = text[end+1:]
		case bytes.HasPrefix(text, []byte("/*")):
			end := bytes.Index(text, []byte("*/"))
			if end < 0 || bytes.Contains(text[2:end], []byte("/*")) {
				return text
			}
			text = text[end+2:]
		default:
			return text
		}
	}
}

// HasLeadingComment tells whether a statement begins with a block comment, which may name a route.
func HasLeadingComment(text []byte) bool {
	return bytes.HasPrefix(bytes.TrimLeft(text, " \t\r\n\f"), []byte("/*"))
}

// IsBegin tells whether a text is one BEGIN or START TRANSACTION and nothing else.
func IsBegin(text []byte) bool {
	word, rest := Keyword(text)
	if !is(word, "begin") {
		if !is(word, "start") {
			return false
		}
		word, rest = Keyword(rest)
		if !is(word, "transaction") {
			return false
		}
	}
	return alone(rest)
}

// IsEnd tells whether a text is one COMMIT, END, ROLLBACK or ABORT that ends a transaction block.
func IsEnd(text []byte) bool {
	word, rest := Keyword(text)
	switch {
	case is(word, "commit"), is(word, "end"), is(word, "abort"), is(word, "rollback"):
	default:
		return false
	}
	if next, after := Keyword(rest); is(next, "work") || is(next, "transaction") {
		rest = after
	}
	rest = skipSpace(rest)
	return len(rest) == 0 || (rest[0] == ';' && len(skipSpace(rest[1:])) == 0)
}

// IsReset tells whether a text is one DISCARD ALL or DEALLOCATE ALL, which a caller needs no database for; tag is its answer.
func IsReset(text []byte) (tag string, found bool) {
	word, rest := Keyword(text)
	object, rest := Keyword(rest)
	if !is(object, "all") || len(bytes.Trim(rest, " \t\r\n;")) > 0 {
		return "", false
	}
	switch {
	case is(word, "discard"):
		return "DISCARD ALL", true
	case is(word, "deallocate"):
		return "DEALLOCATE ALL", true
	}
	return "", false
}

// alone tells that no second statement follows.
func alone(rest []byte) bool {
	end := bytes.IndexByte(rest, ';')
	return end < 0 || len(skipSpace(rest[end+1:])) == 0
}

func is(word []byte, keyword string) bool {
	return len(word) == len(keyword) && equalFold(word, keyword)
}

// MayCommit tells whether messages may contain a statement that commits; in doubt it does.
func MayCommit(data []byte) bool {
	for _, word := range [...]string{"commit", "end", "prepare"} {
		if containsFold(data, word) {
			return true
		}
	}
	return false
}

// UnsafeString returns bytes as text without a copy; the text is valid as long as the bytes are not changed.
func UnsafeString(data []byte) string { return unsafe.String(unsafe.SliceData(data), len(data)) }

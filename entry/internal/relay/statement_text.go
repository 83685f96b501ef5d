package relay

import (
	"bytes"
	"unsafe"
)

// Keyword returns the first word of a statement, in its original case, and the text after it. Leading comments are skipped.
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

// skipSpace removes leading white space and comments. It stops at a block comment that is nested or unterminated.
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

// HasLeadingComment reports whether a statement begins with a block comment, which may name a route.
func HasLeadingComment(text []byte) bool {
	return bytes.HasPrefix(bytes.TrimLeft(text, " \t\r\n\f"), []byte("/*"))
}

// IsBegin reports whether the text is a single BEGIN or START TRANSACTION.
func IsBegin(text []byte) bool {
	word, rest := Keyword(text)
	if !isKeyword(word, "begin") {
		if !isKeyword(word, "start") {
			return false
		}
		word, rest = Keyword(rest)
		if !isKeyword(word, "transaction") {
			return false
		}
	}
	return isLastStatement(rest)
}

// IsEnd reports whether the text is a single COMMIT, END, ROLLBACK or ABORT that ends a transaction block.
func IsEnd(text []byte) bool {
	word, rest := Keyword(text)
	switch {
	case isKeyword(word, "commit"), isKeyword(word, "end"), isKeyword(word, "abort"), isKeyword(word, "rollback"):
	default:
		return false
	}
	if next, after := Keyword(rest); isKeyword(next, "work") || isKeyword(next, "transaction") {
		rest = after
	}
	rest = skipSpace(rest)
	return len(rest) == 0 || (rest[0] == ';' && len(skipSpace(rest[1:])) == 0)
}

// IsReset reports whether the text is a single DISCARD ALL or DEALLOCATE ALL, which the entry answers itself with the
// returned command tag.
func IsReset(text []byte) (tag string, found bool) {
	word, rest := Keyword(text)
	object, rest := Keyword(rest)
	if !isKeyword(object, "all") || len(bytes.Trim(rest, " \t\r\n;")) > 0 {
		return "", false
	}
	switch {
	case isKeyword(word, "discard"):
		return "DISCARD ALL", true
	case isKeyword(word, "deallocate"):
		return "DEALLOCATE ALL", true
	}
	return "", false
}

// isLastStatement reports whether no other statement follows.
func isLastStatement(rest []byte) bool {
	end := bytes.IndexByte(rest, ';')
	return end < 0 || len(skipSpace(rest[end+1:])) == 0
}

func isKeyword(word []byte, keyword string) bool {
	return len(word) == len(keyword) && equalFold(word, keyword)
}

// MayCommit reports whether messages may contain a statement that commits. It can return false positives.
func MayCommit(data []byte) bool {
	for _, word := range [...]string{"commit", "end", "prepare"} {
		if containsFold(data, word) {
			return true
		}
	}
	return false
}

// UnsafeString returns the data as a string without copying it. The data must not change while the string is in use.
func UnsafeString(data []byte) string { return unsafe.String(unsafe.SliceData(data), len(data)) }

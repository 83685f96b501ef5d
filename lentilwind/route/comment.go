package route

import (
	"strings"

	"lentilwind.dev/lentilwind/inventory"
)

// Names of the pairs that carry hints.
const (
	routePair = "route"
	keyPair   = "key"
)

// Limits on a hint comment.
const (
	maxCommentBytes = 1024
	maxPairs        = 16
)

// whitespace lists the characters that are ignored around the parts of a comment.
const whitespace = " \t\r\n\f"

// Hints holds the routing hints of a statement's leading comment.
type Hints struct {
	Route inventory.RouteName
	// Key selects the slot; empty means slot 0.
	Key string
}

// ParseComment parses the hints in a leading comment such as /*route='lookup',key='17'*/.
//
// A comment that is not exactly a list of such pairs yields no hints at all, so the statement takes the default route.
func ParseComment(sql string) Hints {
	body, found := leadingComment(sql)
	if !found {
		return Hints{}
	}
	var hints Hints
	var seenRoute, seenKey bool
	for range maxPairs {
		name, value, rest, ok := cutPair(body)
		if !ok {
			return Hints{}
		}
		switch {
		case name == routePair && !seenRoute:
			hints.Route, seenRoute = inventory.RouteName(value), true
		case name == keyPair && !seenKey:
			hints.Key, seenKey = value, true
		case name == routePair || name == keyPair:
			return Hints{}
		}
		if rest == "" {
			return hints
		}
		body = rest[1:]
	}
	return Hints{}
}

// leadingComment returns the text of the comment at the start of a statement.
func leadingComment(sql string) (string, bool) {
	sql = strings.TrimLeft(sql[:min(len(sql), 2*maxCommentBytes)], whitespace)
	if !strings.HasPrefix(sql, "/*") {
		return "", false
	}
	sql = sql[2:min(len(sql), maxCommentBytes)]
	body, _, found := strings.Cut(sql, "*/")
	// PostgreSQL nests comments, so with an inner one the first "*/" would not be the end.
	if !found || strings.Contains(body, "/*") {
		return "", false
	}
	return body, true
}

// cutPair splits name='value' off the front of body; rest is empty or begins with a comma.
func cutPair(body string) (name, value, rest string, ok bool) {
	name, body, ok = strings.Cut(body, "=")
	name = strings.Trim(name, whitespace)
	body = strings.TrimLeft(body, whitespace)
	if !ok || !isName(name) || !strings.HasPrefix(body, "'") {
		return "", "", "", false
	}
	body = body[1:]
	end := closingQuote(body)
	if end < 0 {
		return "", "", "", false
	}
	value, ok = unescape(body[:end])
	rest = strings.Trim(body[end+1:], whitespace)
	if rest != "" && rest[0] != ',' {
		return "", "", "", false
	}
	return name, value, rest, ok
}

func isName(name string) bool {
	for i := range len(name) {
		c := name[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c == '.'
		if !letter && (i == 0 || c != '-' && (c < '0' || c > '9')) {
			return false
		}
	}
	return name != ""
}

// closingQuote returns the index of the first quote that is not escaped by a backslash, or -1.
func closingQuote(body string) int {
	for i := 0; i < len(body); i++ {
		switch body[i] {
		case '\\':
			i++
		case '\'':
			return i
		}
	}
	return -1
}

// unescape decodes the backslash and percent escapes of a value.
func unescape(value string) (string, bool) {
	if strings.IndexByte(value, '\\') < 0 && strings.IndexByte(value, '%') < 0 {
		return value, true
	}
	decoded := make([]byte, 0, len(value))
	for i := 0; i < len(value); i++ {
		c := value[i]
		switch c {
		case '\\':
			i++
			c = value[i]
		case '%':
			high, low := hexDigit(value, i+1), hexDigit(value, i+2)
			if high < 0 || low < 0 {
				return "", false
			}
			c = byte(high<<4 | low)
			i += 2
		}
		decoded = append(decoded, c)
	}
	return string(decoded), true
}

// hexDigit returns the value of the hexadecimal digit at index i, or -1.
func hexDigit(value string, i int) int {
	if i >= len(value) {
		return -1
	}
	c := value[i]
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

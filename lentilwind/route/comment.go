package route

import (
	"strings"

	"lentilwind.dev/lentilwind/inventory"
)

// Names of the pairs in a comment.
const (
	routePair = "route"
	keyPair   = "key"
)

// Limits of a comment, in bytes and in pairs.
const (
	maxCommentBytes = 1024
	maxPairs        = 16
)

// space is what may stand around the parts of a comment.
const space = " \t\r\n\f"

// Hints is what a statement says of itself in its leading comment.
type Hints struct {
	Route inventory.RouteName
	// Key chooses the slot; empty means slot 0.
	Key string
}

// ParseComment reads the hints of a leading comment such as /*route='lookup',key='17'*/.
//
// A comment that is not exactly a list of such pairs gives no hints at all, so that the statement takes the default route.
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

// leadingComment returns the text inside the comment at the start of a statement.
func leadingComment(sql string) (string, bool) {
	sql = strings.TrimLeft(sql[:min(len(sql), 2*maxCommentBytes)], space)
	if !strings.HasPrefix(sql, "/*") {
		return "", false
	}
	sql = sql[2:min(len(sql), maxCommentBytes)]
	body, _, found := strings.Cut(sql, "*/")
	// PostgreSQL nests comments, so an inner one would move the end.
	if !found || strings.Contains(body, "/*") {
		return "", false
	}
	return body, true
}

// cutPair splits name='value' off the front; the rest is empty or begins with a comma.
func cutPair(body string) (name, value, rest string, ok bool) {
	name, body, ok = strings.Cut(body, "=")
	name = strings.Trim(name, space)
	body = strings.TrimLeft(body, space)
	if !ok || !isName(name) || !strings.HasPrefix(body, "'") {
		return "", "", "", false
	}
	body = body[1:]
	end := closingQuote(body)
	if end < 0 {
		return "", "", "", false
	}
	value, ok = unescape(body[:end])
	rest = strings.Trim(body[end+1:], space)
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

// closingQuote returns the index of the first quote that no backslash escapes.
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

// unescape undoes backslashes and percent signs of a value.
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

package relay

import "bytes"

// ClosesStatement tells whether the body of a Close names a prepared statement.
func ClosesStatement(body []byte) bool { return len(body) > 0 && body[0] == targetStatement }

// Committed tells whether a command tag reports a commit.
func Committed(tag []byte) bool { return bytes.Equal(tag, commitTag) }

// RolledBack tells whether a command tag reports a rollback.
func RolledBack(tag []byte) bool { return bytes.Equal(tag, rollbackTag) }

var (
	commitTag   = []byte("COMMIT\x00")
	rollbackTag = []byte("ROLLBACK\x00")
	noRows      = []byte(" 0\x00")
	writeTags   = [][]byte{[]byte("INSERT"), []byte("UPDATE"), []byte("DELETE"), []byte("MERGE"), []byte("COPY")}
)

// Wrote tells whether a command tag reports changed rows.
func Wrote(tag []byte) bool {
	for _, write := range writeTags {
		if bytes.HasPrefix(tag, write) {
			return !bytes.HasSuffix(tag, noRows)
		}
	}
	return false
}

// cleanTags begin the tags of commands that leave nothing behind on a connection.
var cleanTags = [][]byte{
	[]byte("SELECT"), []byte("INSERT"), []byte("UPDATE"), []byte("DELETE"), []byte("MERGE"), []byte("BEGIN"),
	[]byte("START TRANSACTION"), []byte("COMMIT"), []byte("ROLLBACK"), []byte("SAVEPOINT"), []byte("RELEASE"),
	[]byte("FETCH"), []byte("MOVE"), []byte("COPY"), []byte("SHOW"), []byte("EXPLAIN"), []byte("CREATE TABLE"),
}

// LeavesState tells whether a command may have left something on the connection that the next user must not meet.
func LeavesState(tag []byte) bool {
	for _, clean := range cleanTags {
		if bytes.HasPrefix(tag, clean) {
			return false
		}
	}
	return true
}

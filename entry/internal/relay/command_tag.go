package relay

import "bytes"

// ClosesStatement reports whether the body of a Close names a prepared statement.
func ClosesStatement(body []byte) bool { return len(body) > 0 && body[0] == targetStatement }

// Committed reports whether a command tag is that of a commit.
func Committed(tag []byte) bool { return bytes.Equal(tag, commitTag) }

// RolledBack reports whether a command tag is that of a rollback.
func RolledBack(tag []byte) bool { return bytes.Equal(tag, rollbackTag) }

var (
	commitTag   = []byte("COMMIT\x00")
	rollbackTag = []byte("ROLLBACK\x00")
	zeroRows    = []byte(" 0\x00")
	writeTags   = [][]byte{[]byte("INSERT"), []byte("UPDATE"), []byte("DELETE"), []byte("MERGE"), []byte("COPY")}
)

// Wrote reports whether a command tag is that of a statement that changed rows.
func Wrote(tag []byte) bool {
	for _, write := range writeTags {
		if bytes.HasPrefix(tag, write) {
			return !bytes.HasSuffix(tag, zeroRows)
		}
	}
	return false
}

// statelessTags are prefixes of the tags of commands that leave no state on a connection.
var statelessTags = [][]byte{
	[]byte("SELECT"), []byte("INSERT"), []byte("UPDATE"), []byte("DELETE"), []byte("MERGE"), []byte("BEGIN"),
	[]byte("START TRANSACTION"), []byte("COMMIT"), []byte("ROLLBACK"), []byte("SAVEPOINT"), []byte("RELEASE"),
	[]byte("FETCH"), []byte("MOVE"), []byte("COPY"), []byte("SHOW"), []byte("EXPLAIN"), []byte("CREATE TABLE"),
}

// LeavesState reports whether a command may have left state on the connection that must be reset before another transaction
// uses it.
func LeavesState(tag []byte) bool {
	for _, clean := range statelessTags {
		if bytes.HasPrefix(tag, clean) {
			return false
		}
	}
	return true
}

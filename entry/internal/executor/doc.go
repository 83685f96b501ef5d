// Package executor runs transactions on databases, over an entry's own connections or those of another entry.
package executor

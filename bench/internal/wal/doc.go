// Package wal implements a write-ahead log of checksummed entries with group commit.
package wal

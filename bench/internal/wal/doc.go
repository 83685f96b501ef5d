// Package wal is a write-ahead log of framed entries with group commit.
package wal

// Package database is a stand-in for a backend server: it speaks the PostgreSQL protocol and keeps to docs/DATABASE.md.
package database

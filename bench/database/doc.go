// Package database simulates a backend server for tests: it speaks the PostgreSQL protocol and follows the rules in docs/DATABASE.md.
package database

// Package database has the interfaces through which entries and control speak to databases, apart from any wire format.
package database

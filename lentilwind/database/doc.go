// Package database defines the interfaces through which entries and control access databases, independent of any wire format.
package database

// Package executor runs transactions on databases, either over this entry's own connection pools or by forwarding them to a home
// of the database.
package executor

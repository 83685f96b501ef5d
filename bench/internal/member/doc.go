// Package member implements one member of a database group: its rows, its replicated log and the term at which it is fenced.
package member

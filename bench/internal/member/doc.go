// Package member is one member of a database group: its rows, its log and its promises.
package member

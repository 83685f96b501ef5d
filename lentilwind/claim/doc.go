// Package claim decides between two writers that announce the same name or address.
package claim

// Package document edits the text of an inventory and preserves its comments.
package document

// Package document edits an inventory's text and keeps its comments.
package document

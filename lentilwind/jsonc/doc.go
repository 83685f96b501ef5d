// Package jsonc decodes JSON with comments into typed structs and reports every problem with its line and column.
package jsonc

// Package output prints results as tables for people or as JSON for programs.
package output

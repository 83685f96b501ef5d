// Package statement parses the fixed subset of SQL that the simulated database supports and rejects everything else.
package statement

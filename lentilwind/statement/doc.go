// Package statement defines the statements of a session and their answers as typed values, independent of any wire format.
package statement

// Package statement has the statements of a session and their answers as typed values, apart from any wire format.
package statement

// Package statement reads the small fixed set of SQL that the stand-in database understands and refuses all else.
package statement

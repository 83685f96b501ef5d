// Package homes tells which entries are the pool homes of a database and how many connections this one may have to it.
package homes

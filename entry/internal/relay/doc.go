// Package relay reads, rewrites and passes on messages of the PostgreSQL protocol without decoding what it need not know.
package relay

// Package relay parses, rewrites and forwards PostgreSQL protocol messages, and decodes only what the entry needs to know.
package relay

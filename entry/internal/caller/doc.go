// Package caller serves the connections of callers, the PostgreSQL clients of an entry: it checks API keys, routes requests to
// databases and relays their answers.
package caller

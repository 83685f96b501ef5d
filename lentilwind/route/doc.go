// Package route decides where a request runs: it parses routing hints, looks up the route, maps the key to a slot and chooses the
// group member that serves the request.
package route

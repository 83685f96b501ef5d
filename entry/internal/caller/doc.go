// Package caller serves the connections of callers: it checks keys, places requests and relays answers.
package caller

// Package route decides where a request runs: its hints, its rule, its slot and the member of the group that serves it.
package route

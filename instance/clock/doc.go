// Package clock provides a monotonic clock that keeps running while the instance is suspended, as leases and staleness bounds
// require.
package clock

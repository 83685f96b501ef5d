// Package coordinator runs a control process that discovers its peers: replicated log, configuration, server roster, leases, quota
// and promotion of primaries.
package coordinator

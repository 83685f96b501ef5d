// Package failover decides when a database group gets a new primary, which member it is, and in which order that happens.
package failover

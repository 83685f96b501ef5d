// Package failover decides when a database group gets a new primary, which member is promoted and in which order the steps run.
package failover

// Package failover runs the failover of all database groups while this control process leads.
package failover

// Package failover runs failover for all database groups while this control process leads.
package failover

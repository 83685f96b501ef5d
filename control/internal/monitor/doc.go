// Package monitor probes databases and sends them failover requests on monitoring connections.
package monitor

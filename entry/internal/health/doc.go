// Package health serves an entry's HTTP interface: health for the balancer, metrics, and announcements of backend servers.
package health

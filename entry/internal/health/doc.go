// Package health serves an entry's HTTP endpoints: health checks for the load balancer, metrics, and announcements of backend
// servers.
package health

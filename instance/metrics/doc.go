// Package metrics creates OpenTelemetry metrics and serves them in the Prometheus format.
package metrics

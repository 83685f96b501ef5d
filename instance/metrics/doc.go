// Package metrics sets up OpenTelemetry metrics with a Prometheus page.
package metrics

// Package operator serves the HTTP interfaces of a control process for operators, health checks and metrics.
package operator

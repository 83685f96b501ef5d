// Package operator serves control's interfaces for operators, health checks and metrics.
package operator

// Package monitor speaks to databases on monitoring connections.
package monitor

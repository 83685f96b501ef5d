// Package load generates a reproducible open-loop load from a seed and records the result of each request.
package load

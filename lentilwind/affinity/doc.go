// Package affinity estimates from observed failures which servers tend to fail together.
package affinity

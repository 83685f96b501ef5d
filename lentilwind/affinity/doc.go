// Package affinity learns from observed failures which servers fail together.
package affinity

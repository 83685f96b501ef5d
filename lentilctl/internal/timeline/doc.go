// Package timeline merges the events of many processes into one causally ordered story.
package timeline

// Package timeline merges the events and logs of many processes into one causally ordered list.
package timeline

// Package coordinator runs a control process that finds its peers by itself: journal, configuration, roster, leases, quota and promotion.
package coordinator

// Package renewal keeps an entry's lease, policy and roster up to date with the control leader.
package renewal

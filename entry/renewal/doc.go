// Package renewal keeps an entry's configuration lease, policy and roster current with the control leader.
package renewal

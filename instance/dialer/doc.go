// Package dialer opens connections to databases from the local instance's address and queries their status.
package dialer

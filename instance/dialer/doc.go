// Package dialer opens connections to databases from the address of the own instance and asks them for their status.
package dialer

// Package dialer opens connections to databases from the address of the own instance.
package dialer

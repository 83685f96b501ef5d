// Package identity has the fleet's certificate authority and the certificates by which processes and operators know each other.
package identity

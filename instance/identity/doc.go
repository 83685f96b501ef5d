// Package identity implements the fleet's certificate authority and the certificates with which processes and operators
// authenticate to each other.
package identity

// Package policycheck finds what is wrong, contradictory or without effect in a valid configuration, and what differs between two of them.
package policycheck

// Package relay provides TCP and UDP proxies that inject network faults between the data centres of a test fleet.
package relay

// Package tests has the integration tests, which run real processes behind a fault-injecting proxy.
package tests

// Package instance is the root of the packages that all processes of an instance share: settings, identities, links, timers, logs
// and events.
package instance

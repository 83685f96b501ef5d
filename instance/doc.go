// Package instance is the root of what all processes of an instance share: settings, identities, links, timers, logs and events.
package instance

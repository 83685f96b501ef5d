// Package settings reads and validates the settings of a control process.
package settings

// Package settings defines, reads and validates the settings of an entry.
package settings

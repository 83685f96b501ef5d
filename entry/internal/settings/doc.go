// Package settings has the settings of an entry.
package settings

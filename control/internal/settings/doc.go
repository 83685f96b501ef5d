// Package settings has the settings of a control process.
package settings

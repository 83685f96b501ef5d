// Package settings reads a program's settings file into its typed struct.
package settings

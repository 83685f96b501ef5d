// Package settings reads a program's settings file into a typed struct.
package settings

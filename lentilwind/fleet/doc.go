// Package fleet defines the roster of databases and the messages between entries and control.
package fleet

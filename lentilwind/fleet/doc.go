// Package fleet has the roster of databases and the messages between entries and control over plain links.
package fleet

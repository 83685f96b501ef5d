// Package budget answers entries that ask for connections to databases while this process leads.
package budget

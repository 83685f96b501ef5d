// Package quota answers entries' draws while this control process leads.
package quota

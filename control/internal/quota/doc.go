// Package quota answers entries that draw tokens from the quota while this control process leads.
package quota

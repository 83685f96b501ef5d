// Package quota enforces the rate limits of workspaces at an entry, with tokens granted by the control leader.
package quota

// Package quota enforces a workspace's rate and burst limits across the whole fleet: the control leader grants tokens to
// entries, which admit requests locally.
package quota

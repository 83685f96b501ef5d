// Package membership connects an entry to the control leader. It renews the configuration lease, receives configuration updates,
// sends reports and forwards announcements.
package membership

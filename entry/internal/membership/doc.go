// Package membership keeps an entry in contact with the control leader: configuration, lease, reports and announcements.
package membership

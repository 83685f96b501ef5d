// Package succession decides when the primary of a database group must be replaced.
package succession

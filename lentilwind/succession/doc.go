// Package succession decides when the primary of a database group has to be replaced.
package succession

// Package succession decides when the primary of a database group must be replaced and, where nobody else stops a replaced primary, who may
// still use it and when its successor may be ordered.
package succession

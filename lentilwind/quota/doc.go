// Package quota keeps each workspace's rate and burst exact over the whole fleet while entries admit requests on their own.
package quota

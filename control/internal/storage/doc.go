// Package storage stores the journal, snapshots and identity of one control process in its data folder.
package storage

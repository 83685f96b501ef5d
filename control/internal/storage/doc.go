// Package storage keeps one control process's journal, snapshots and identity in its data folder.
package storage

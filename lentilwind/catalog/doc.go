// Package catalog has the state that control processes replicate: inventories, group configurations and learned failures.
package catalog

// Package catalog implements the state that control processes replicate: inventories, group configurations and observed failures.
package catalog

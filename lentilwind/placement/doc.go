// Package placement chooses the pool homes of databases and leases them connections whose sum never passes a database's limit.
package placement

// Package proxy runs the statements of client sessions on databases. It covers routing, consistency, connection pools, quota, retries and
// graceful shutdown.
//
// It is independent of wire formats: clients and databases are behind the interfaces ClientConn and database.Connector.
package proxy

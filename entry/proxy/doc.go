// Package proxy carries the statements of callers' sessions to databases: routing, consistency, pools, quota, retries and planned stops.
//
// It knows no wire format: callers and databases stand behind the interfaces Caller and Connector.
package proxy

// Package inventory defines the document that operators write: regions, instances, services, workspaces with their keys, and the
// routes of requests.
package inventory

package inventory

import (
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/jsonc"
)

// InstanceName is the name of an instance that runs an entry or a control process.
type InstanceName string

// DataCentre is the name of a data centre.
type DataCentre string

// RegionName is the name of a region.
type RegionName string

// WorkspaceName is the name of a workspace.
type WorkspaceName string

// RouteName is the name of a route.
type RouteName string

// KeyID identifies a key without revealing it.
type KeyID string

// Revision is the number of an accepted inventory, starting at 1.
type Revision uint64

// Access determines whether a route may modify data.
type Access string

// The kinds of access.
const (
	AccessRead  Access = "read"
	AccessWrite Access = "write"
)

// Priority is the priority class of a route's requests when they wait for a connection.
type Priority string

// The priorities, highest first.
const (
	PriorityHigh   Priority = "high"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "low"
)

// CutOff determines how an entry without a configuration lease handles requests on a route.
type CutOff string

// Behaviours of an entry without a configuration lease.
const (
	CutOffRefuse CutOff = "refuse"
	CutOffServe  CutOff = "serve"
)

// Inventory is the document that operators write.
type Inventory struct {
	Regions    []Region    `json:"regions"`
	Instances  []Instance  `json:"instances"`
	Services   []Service   `json:"services"`
	Workspaces []Workspace `json:"workspaces"`
	Routes     []Route     `json:"routes"`
}

// Region is a set of data centres that can lose contact with the others together, when a wide-area link fails.
type Region struct {
	Name        RegionName   `json:"name"`
	DataCentres []DataCentre `json:"dataCentres"`
}

// Instance is an entry instance of the fleet.
type Instance struct {
	Name       InstanceName `json:"name"`
	DataCentre DataCentre   `json:"dataCentre"`
}

// Service is a set of databases whose data is partitioned into slots.
type Service struct {
	Name group.Service `json:"name"`
	// Slots is the number of database groups; each database holds one member of every group.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections that the system opens to one database.
	Connections int        `json:"connections"`
	Databases   []Database `json:"databases"`
}

// Database is one backend server of a service.
type Database struct {
	Name       group.Server `json:"name"`
	DataCentre DataCentre   `json:"dataCentre"`
}

// Workspace is a customer with its quota and its keys.
type Workspace struct {
	Name WorkspaceName `json:"name"`
	// Rate is in requests per second over the whole fleet.
	Rate float64 `json:"rate"`
	// Burst is in requests over the whole fleet.
	Burst float64 `json:"burst"`
	// Weight is the workspace's weight in a contended queue; 0 means 1.
	Weight int   `json:"weight,omitempty"`
	Keys   []Key `json:"keys"`
}

// Key is a key of a workspace; removing it from the inventory revokes it.
type Key struct {
	ID KeyID `json:"id"`
	// Hash is "sha256:" followed by the SHA-256 of the key in hexadecimal.
	Hash string `json:"hash"`
}

// Route holds the settings for the requests that name it.
type Route struct {
	Name RouteName `json:"name"`
	// Service restricts the route to one service; empty means every service.
	Service group.Service `json:"service,omitempty"`
	Access  Access        `json:"access"`
	// MaxStaleness is the greatest allowed age of the data that a read returns; 0 sends reads to the primary.
	MaxStaleness jsonc.Duration `json:"maxStaleness,omitempty"`
	// OpenToAll lets callers without a key use the route.
	OpenToAll bool `json:"openToAll,omitempty"`
	// Repeatable allows the system to retry a request whose outcome is unknown.
	Repeatable bool     `json:"repeatable,omitempty"`
	Priority   Priority `json:"priority,omitempty"`
	CutOff     CutOff   `json:"cutOff,omitempty"`
}

// DefaultRoute returns the route for requests that name none: a write on the primary that is never retried.
func DefaultRoute() Route {
	return Route{Access: AccessWrite, Priority: PriorityNormal, CutOff: CutOffRefuse}
}

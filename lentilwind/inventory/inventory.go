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

// KeyID names a key without giving it away.
type KeyID string

// Revision numbers accepted inventories, from 1.
type Revision uint64

// Access tells whether a route may change data.
type Access string

// The kinds of access.
const (
	AccessRead  Access = "read"
	AccessWrite Access = "write"
)

// Priority is the class in which a route's requests wait for a connection.
type Priority string

// The priorities, highest first.
const (
	PriorityHigh   Priority = "high"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "low"
)

// CutOff tells what an entry without a configuration lease does with a route.
type CutOff string

// The behaviours of a cut-off entry.
const (
	CutOffRefuse CutOff = "refuse"
	CutOffServe  CutOff = "serve"
)

// Inventory is the operators' document.
type Inventory struct {
	Regions    []Region    `json:"regions"`
	Instances  []Instance  `json:"instances"`
	Services   []Service   `json:"services"`
	Workspaces []Workspace `json:"workspaces"`
	Routes     []Route     `json:"routes"`
}

// Region is a set of data centres that a wide-area link may cut off together.
type Region struct {
	Name        RegionName   `json:"name"`
	DataCentres []DataCentre `json:"dataCentres"`
}

// Instance is one entry instance that belongs to the fleet.
type Instance struct {
	Name       InstanceName `json:"name"`
	DataCentre DataCentre   `json:"dataCentre"`
}

// Service is a set of databases whose data is split into slots.
type Service struct {
	Name group.Service `json:"name"`
	// Slots is the number of database groups; each database has a member of each.
	Slots int `json:"slots"`
	// Connections is the most that the system opens to one database.
	Connections int        `json:"connections"`
	Databases   []Database `json:"databases"`
}

// Database is one backend server of a service.
type Database struct {
	Name       group.Server `json:"name"`
	DataCentre DataCentre   `json:"dataCentre"`
}

// Workspace is a customer with its share of the fleet.
type Workspace struct {
	Name WorkspaceName `json:"name"`
	// Rate is in requests a second over the whole fleet.
	Rate float64 `json:"rate"`
	// Burst is in requests over the whole fleet.
	Burst float64 `json:"burst"`
	// Weight is the workspace's share of a contended queue; 0 stands for 1.
	Weight int   `json:"weight,omitempty"`
	Keys   []Key `json:"keys"`
}

// Key is a granted key; taking it out of the inventory withdraws it.
type Key struct {
	ID KeyID `json:"id"`
	// Hash is "sha256:" and the hash of the key in hexadecimal.
	Hash string `json:"hash"`
}

// Route is a rule for the requests that name it.
type Route struct {
	Name RouteName `json:"name"`
	// Service limits the route to one service; empty means every service.
	Service group.Service `json:"service,omitempty"`
	Access  Access        `json:"access"`
	// MaxStaleness is the greatest age of the data that a read may show; 0 sends reads to the primary.
	MaxStaleness jsonc.Duration `json:"maxStaleness,omitempty"`
	// OpenToAll lets callers without a key use the route.
	OpenToAll bool `json:"openToAll,omitempty"`
	// Repeatable allows the system to send a request again after an unknown outcome.
	Repeatable bool     `json:"repeatable,omitempty"`
	Priority   Priority `json:"priority,omitempty"`
	CutOff     CutOff   `json:"cutOff,omitempty"`
}

// DefaultRoute is the rule for requests that name no route: a write at the primary that is never repeated.
func DefaultRoute() Route {
	return Route{Access: AccessWrite, Priority: PriorityNormal, CutOff: CutOffRefuse}
}

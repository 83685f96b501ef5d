package policy

import (
	"fmt"
	"slices"
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
)

// Version is the version of a configuration; the highest one is in force.
type Version uint64

// Database is the database name that a caller connects to.
type Database string

// Consistency is the consistency level of a route's reads.
type Consistency string

// Consistency levels.
const (
	// Strong reads observe every acknowledged commit.
	Strong Consistency = "newest"
	// BoundedStaleness reads observe every commit that is older than the route's MaxStaleness.
	BoundedStaleness Consistency = "bounded"
	// ReadYourWrites is BoundedStaleness and also observes the session's own commits.
	ReadYourWrites Consistency = "ownWrites"
)

// Route holds the settings for requests to one database name.
type Route struct {
	Database    Database
	Service     group.Service
	Consistency Consistency
	// Timeout bounds one statement.
	Timeout time.Duration
	// TargetLatency is the desired latency of a whole operation.
	TargetLatency time.Duration
	// Priority orders requests that compete for capacity; 0 is served first.
	Priority int
	// Class is the rank of the priority among those of all routes; 0 is the most urgent one. Build sets it.
	Class int
	// MaxAttempts bounds how often the proxy sends a statement to databases.
	MaxAttempts int
	// MaxStaleness bounds the age of the state that a read observes.
	MaxStaleness time.Duration
	// AllowAnonymous lets callers without a key use the route.
	AllowAnonymous bool
	// Homes are the regions that requests and their bytes may reach.
	Homes Homes
}

// Fencing says what stops a replaced primary from being used.
type Fencing string

const (
	// FencedByServers means that a replaced primary refuses writes from the moment at which its successor leads.
	FencedByServers Fencing = "servers"
	// FencedByLeases means that a replaced primary goes on accepting writes. Entries use a primary only while they hold a lease on it.
	FencedByLeases Fencing = "leases"
)

// Service is one database group.
type Service struct {
	Name group.Service
	// MaxConnections bounds the connections to each of the service's databases, over all processes.
	MaxConnections int
	// SyncReplicas is the number of replicas that must hold a commit before it is acknowledged.
	SyncReplicas int
	// Fencing is FencedByServers if empty.
	Fencing Fencing
	// ColdRate bounds the statements a second that one cold database gets from the whole fleet; 0 sets no bound.
	ColdRate float64
}

// Policy is one accepted configuration; it must not be modified.
type Policy struct {
	Version  Version
	Routes   map[Database]*Route
	Services map[group.Service]*Service
	// WorkspacesByKey maps each key to its workspace.
	WorkspacesByKey map[string]*Workspace
	// WorkspaceList holds the workspaces in the order of the configuration.
	WorkspaceList []*Workspace
	// TransactionIdleTimeout bounds how long a transaction may stay idle.
	TransactionIdleTimeout time.Duration
	// Keyless means that the deployment has no keys, so that what callers send as one has no meaning and can't be withdrawn.
	Keyless bool
}

// Workspace is a customer with its keys, rate limit and priority.
type Workspace struct {
	Name inventory.WorkspaceName
	Keys []string
	// Rate is in operations per second and Burst in operations, both over the whole fleet.
	Rate, Burst float64
	// Unlimited exempts the workspace from the rate limit.
	Unlimited bool
	Priority  int
	// Homes are the regions that requests and their bytes may reach, besides those of their route.
	Homes Homes
}

// Builder builds a policy and validates its parts.
type Builder struct {
	policy Policy
	err    error
}

// NewBuilder returns a builder for a version.
func NewBuilder(version Version) *Builder {
	return &Builder{policy: Policy{
		Version: version, Routes: make(map[Database]*Route), Services: make(map[group.Service]*Service),
		WorkspacesByKey: make(map[string]*Workspace),
	}}
}

func (b *Builder) fail(format string, args ...any) {
	if b.err == nil {
		b.err = fmt.Errorf("policy: "+format, args...)
	}
}

// SetTransactionIdleTimeout sets how long a transaction may stay idle.
func (b *Builder) SetTransactionIdleTimeout(limit time.Duration) {
	b.policy.TransactionIdleTimeout = limit
}

// SetKeyless declares that the deployment has no keys.
func (b *Builder) SetKeyless() { b.policy.Keyless = true }

// AddService adds a service.
func (b *Builder) AddService(s Service) {
	if s.Name == "" || b.policy.Services[s.Name] != nil {
		b.fail("service %q has no name or stands twice", s.Name)
	}
	b.policy.Services[s.Name] = &s
}

// AddRoute adds a route; its service must have been added before.
func (b *Builder) AddRoute(r Route) {
	switch {
	case b.policy.Services[r.Service] == nil:
		b.fail("the route of database %q names the unknown service %q", r.Database, r.Service)
	case b.policy.Routes[r.Database] != nil:
		b.fail("two routes have the database %q", r.Database)
	case r.Timeout <= 0:
		b.fail("the timeout of database %q must be above 0", r.Database)
	}
	b.policy.Routes[r.Database] = &r
}

// AddWorkspace adds a workspace.
func (b *Builder) AddWorkspace(w Workspace) {
	for _, key := range w.Keys {
		if other := b.policy.WorkspacesByKey[key]; other != nil && other.Name != w.Name {
			b.fail("the workspaces %q and %q share a key", other.Name, w.Name)
		}
		b.policy.WorkspacesByKey[key] = &w
	}
	b.policy.WorkspaceList = append(b.policy.WorkspaceList, &w)
}

// Build returns the policy, or the first error.
func (b *Builder) Build() (*Policy, error) {
	if b.err != nil {
		return nil, b.err
	}
	b.setClasses()
	return &b.policy, nil
}

func (b *Builder) setClasses() {
	var priorities []int
	for _, r := range b.policy.Routes {
		priorities = append(priorities, r.Priority)
	}
	slices.Sort(priorities)
	priorities = slices.Compact(priorities)
	for _, r := range b.policy.Routes {
		r.Class, _ = slices.BinarySearch(priorities, r.Priority)
	}
}

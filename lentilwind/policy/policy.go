package policy

import (
	"fmt"
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
)

// Version orders configurations; the highest one is in force.
type Version uint64

// Database is the name of a database as callers give it.
type Database string

// Consistency is the promise of a route's reads.
type Consistency string

// The promises.
const (
	// Strong shows every acknowledged commit.
	Strong Consistency = "newest"
	// BoundedStaleness shows every commit that is older than the route's staleness.
	BoundedStaleness Consistency = "bounded"
	// ReadYourWrites is Bounded and shows the session's own commits.
	ReadYourWrites Consistency = "ownWrites"
)

// Route is the rule for requests to one database name.
type Route struct {
	Database    Database
	Service     group.Service
	Consistency Consistency
	// Timeout bounds one statement.
	Timeout time.Duration
	// TargetLatency is the latency that callers want for a whole operation.
	TargetLatency time.Duration
	// Priority orders requests for scarce capacity; 0 goes first.
	Priority int
	// MaxAttempts bounds how often the proxy offers a statement to databases.
	MaxAttempts int
	// MaxStaleness bounds how old the state of a read may be.
	MaxStaleness time.Duration
	// AllowAnonymous routes need no key.
	AllowAnonymous bool
}

// Service is one database group.
type Service struct {
	Name group.Service
	// MaxConnections bounds the connections to each of its databases, over all processes.
	MaxConnections int
	// SyncReplicas is how many replicas hold a commit before it is acknowledged.
	SyncReplicas int
}

// Policy is one accepted configuration; it must not be changed.
type Policy struct {
	Version  Version
	Routes   map[Database]*Route
	Services map[group.Service]*Service
	// WorkspacesByKey holds the workspaces by key.
	WorkspacesByKey map[string]*Workspace
	// WorkspaceList has the workspaces in the configuration's order.
	WorkspaceList []*Workspace
	// TransactionIdleTimeout is how long a transaction may rest.
	TransactionIdleTimeout time.Duration
}

// Workspace is a customer with its keys and its share.
type Workspace struct {
	Name inventory.WorkspaceName
	Keys []string
	// Rate is in operations a second and Burst in operations, over the whole fleet.
	Rate, Burst float64
	// Unlimited workspaces have no rate.
	Unlimited bool
	Priority  int
}

// Builder collects the parts of a policy and checks them.
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

// SetTransactionIdleTimeout sets how long a transaction may rest.
func (b *Builder) SetTransactionIdleTimeout(limit time.Duration) {
	b.policy.TransactionIdleTimeout = limit
}

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

// Build returns the policy, or the first problem.
func (b *Builder) Build() (*Policy, error) {
	if b.err != nil {
		return nil, b.err
	}
	return &b.policy, nil
}

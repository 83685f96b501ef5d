package policycheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/policy"
)

// Subject is the kind of entry that a finding or a change is about.
type Subject string

// The subjects.
const (
	Document  Subject = "document"
	Service   Subject = "service"
	Route     Subject = "route"
	Workspace Subject = "workspace"
)

// Field names a setting of a subject; empty for the subject as a whole.
type Field string

// The fields.
const (
	FieldTimeout       Field = "timeout"
	FieldTargetLatency Field = "targetLatency"
	FieldStaleness     Field = "maxStaleness"
	FieldConsistency   Field = "consistency"
	FieldPriority      Field = "priority"
	FieldService       Field = "service"
	FieldAnonymous     Field = "allowAnonymous"
	FieldHomes         Field = "homes"
	FieldKeys          Field = "keys"
	FieldRate          Field = "rate"
	FieldBurst         Field = "burst"
	FieldConnections   Field = "maxConnections"
	FieldSyncReplicas  Field = "syncReplicas"
	FieldColdRate      Field = "coldRate"
	FieldIdleTimeout   Field = "transactionIdleTimeout"
	FieldVersion       Field = "version"
)

// Finding is an entry that has no effect, or that contradicts another one. The configuration may be used all the same.
type Finding struct {
	Subject Subject `json:"subject"`
	Name    string  `json:"name,omitempty"`
	Field   Field   `json:"field,omitempty"`
	Message string  `json:"message"`
}

// Facts are what is known of the fleet besides the configuration. The zero value knows nothing.
type Facts struct {
	// Regions are those that have data centres.
	Regions []policy.Region
}

const (
	// leastStaleness is the staleness bound below which every read goes to the primary, because of the margin for clocks.
	leastStaleness = 50 * time.Millisecond
	// leastConnections is the number of connections to a database below which none are left for some owner.
	leastConnections = 8
)

// checker collects findings.
type checker struct {
	policy   *policy.Policy
	facts    Facts
	findings []Finding
}

func (c *checker) add(subject Subject, name string, field Field, format string, args ...any) {
	c.findings = append(c.findings, Finding{Subject: subject, Name: name, Field: field, Message: fmt.Sprintf(format, args...)})
}

// Check returns the findings about a configuration, in the order of services, routes and workspaces.
func Check(p *policy.Policy, facts Facts) []Finding {
	c := &checker{policy: p, facts: facts}
	c.checkDocument()
	for _, name := range slices.Sorted(maps.Keys(p.Services)) {
		c.checkService(p.Services[name])
	}
	for _, name := range slices.Sorted(maps.Keys(p.Routes)) {
		c.checkRoute(p.Routes[name])
	}
	for _, w := range p.WorkspaceList {
		c.checkWorkspace(w)
	}
	return c.findings
}

func (c *checker) checkDocument() {
	if len(c.policy.Routes) == 0 {
		c.add(Document, "", "", "there are no routes, so nothing is served")
		return
	}
	keyed := false
	for _, r := range c.policy.Routes {
		keyed = keyed || !r.AllowAnonymous
	}
	if !keyed && len(c.policy.WorkspacesByKey) > 0 {
		c.add(Document, "", FieldKeys, "no route requires a key")
	}
	if keyed && len(c.policy.WorkspacesByKey) == 0 {
		c.add(Document, "", FieldKeys, "routes require a key, and no workspace has one")
	}
}

func (c *checker) checkService(s *policy.Service) {
	name := string(s.Name)
	used := false
	for _, r := range c.policy.Routes {
		used = used || r.Service == s.Name
	}
	if !used {
		c.add(Service, name, "", "no route names it")
	}
	if s.MaxConnections < leastConnections {
		c.add(Service, name, FieldConnections, "%d connections to a database leave none for some entries; allow %d or more", s.MaxConnections, leastConnections)
	}
	if s.SyncReplicas < 0 {
		c.add(Service, name, FieldSyncReplicas, "%d is negative", s.SyncReplicas)
	}
	if s.ColdRate < 0 || s.ColdRate > 0 && s.ColdRate < 1 {
		c.add(Service, name, FieldColdRate, "a bound of %g requests a second", s.ColdRate)
	}
}

func (c *checker) checkRoute(r *policy.Route) {
	name := string(r.Database)
	switch {
	case r.TargetLatency <= 0:
		c.add(Route, name, FieldTargetLatency, "without a latency target no request may wait for a connection")
	case r.TargetLatency > r.Timeout:
		c.add(Route, name, FieldTargetLatency, "the target of %v is longer than the timeout of %v", r.TargetLatency, r.Timeout)
	}
	switch {
	case r.Consistency == policy.Strong && r.MaxStaleness > 0:
		c.add(Route, name, FieldStaleness, "a bound of %v has no effect, because the route reads the newest state", r.MaxStaleness)
	case r.Consistency != policy.Strong && r.MaxStaleness <= leastStaleness:
		c.add(Route, name, FieldStaleness, "with a bound of %v every read goes to the primary; above %v replicas can serve it", r.MaxStaleness, leastStaleness)
	}
	if r.Priority < 0 {
		c.add(Route, name, FieldPriority, "%d is negative; 0 is the most urgent", r.Priority)
	}
	c.checkRegions(Route, name, r.Homes)
}

// checkRegions reports homes without any data centre.
func (c *checker) checkRegions(subject Subject, name string, homes policy.Homes) {
	if len(c.facts.Regions) == 0 || !homes.Bound() {
		return
	}
	for _, region := range c.facts.Regions {
		if homes.Allow(region) {
			return
		}
	}
	c.add(subject, name, FieldHomes, "no data centre lies in its regions; the fleet has %v", c.facts.Regions)
}

func (c *checker) checkWorkspace(w *policy.Workspace) {
	name := string(w.Name)
	if len(w.Keys) == 0 {
		c.add(Workspace, name, FieldKeys, "it has no key, so it can use only routes without keys, without its name")
	}
	if sorted := slices.Sorted(slices.Values(w.Keys)); len(slices.Compact(sorted)) < len(w.Keys) {
		c.add(Workspace, name, FieldKeys, "one of its keys stands twice")
	}
	switch {
	case w.Unlimited:
	case w.Rate <= 0:
		c.add(Workspace, name, FieldRate, "at a rate of %g nothing is admitted", w.Rate)
	case w.Burst < 1:
		c.add(Workspace, name, FieldBurst, "with a burst of %g nothing is admitted, because a request takes 1", w.Burst)
	}
	c.checkRegions(Workspace, name, w.Homes)
	c.checkCommonHomes(w)
}

// checkCommonHomes reports the routes that a workspace can never use, because their homes have no region in common.
func (c *checker) checkCommonHomes(w *policy.Workspace) {
	if !w.Homes.Bound() {
		return
	}
	for _, database := range slices.Sorted(maps.Keys(c.policy.Routes)) {
		r := c.policy.Routes[database]
		if r.Homes.Bound() && w.Homes.And(r.Homes).Empty() {
			c.add(Workspace, string(w.Name), FieldHomes, "it can never use the route %q: they have no region in common", database)
		}
	}
}

// ChangeKind tells how an entry differs between two configurations.
type ChangeKind string

// The kinds.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two configurations. Keys are counted and never shown.
type Change struct {
	Kind    ChangeKind `json:"kind"`
	Subject Subject    `json:"subject"`
	Name    string     `json:"name,omitempty"`
	Field   Field      `json:"field,omitempty"`
	From    string     `json:"from,omitempty"`
	To      string     `json:"to,omitempty"`
}

// Diff returns what changes when one configuration follows another, by meaning: the order of entries does not count.
func Diff(before, after *policy.Policy) []Change {
	var changes []Change
	changes = append(changes, compare(Document, "", documentFields(before), documentFields(after))...)
	changes = append(changes, diffEntries(Service, before.Services, after.Services, serviceFields)...)
	changes = append(changes, diffEntries(Route, before.Routes, after.Routes, routeFields)...)
	return append(changes, diffEntries(Workspace, workspacesByName(before), workspacesByName(after), workspaceFields)...)
}

// fields holds the settings of an entry as text.
type fields map[Field]string

func documentFields(p *policy.Policy) fields {
	return fields{FieldVersion: fmt.Sprint(p.Version), FieldIdleTimeout: p.TransactionIdleTimeout.String()}
}

func serviceFields(s *policy.Service) fields {
	return fields{FieldConnections: fmt.Sprint(s.MaxConnections), FieldSyncReplicas: fmt.Sprint(s.SyncReplicas), FieldColdRate: fmt.Sprint(s.ColdRate)}
}

func routeFields(r *policy.Route) fields {
	return fields{
		FieldService: string(r.Service), FieldConsistency: string(r.Consistency), FieldTimeout: r.Timeout.String(), FieldTargetLatency: r.TargetLatency.String(),
		FieldPriority: fmt.Sprint(r.Priority), FieldStaleness: r.MaxStaleness.String(), FieldAnonymous: fmt.Sprint(r.AllowAnonymous), FieldHomes: r.Homes.String(),
	}
}

func workspaceFields(w *policy.Workspace) fields {
	f := fields{FieldRate: fmt.Sprint(w.Rate), FieldBurst: fmt.Sprint(w.Burst), FieldPriority: fmt.Sprint(w.Priority), FieldHomes: w.Homes.String()}
	if w.Unlimited {
		f[FieldRate], f[FieldBurst] = "unlimited", "unlimited"
	}
	return f
}

func workspacesByName(p *policy.Policy) map[group.Service]*policy.Workspace {
	byName := make(map[group.Service]*policy.Workspace, len(p.WorkspaceList))
	for _, w := range p.WorkspaceList {
		byName[group.Service(w.Name)] = w
	}
	return byName
}

func diffEntries[K cmp.Ordered, V any](subject Subject, before, after map[K]*V, describe func(*V) fields) []Change {
	var changes []Change
	all := slices.Sorted(maps.Keys(before))
	for name := range after {
		if before[name] == nil {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	for _, name := range all {
		from, to := before[name], after[name]
		switch {
		case from == nil:
			changes = append(changes, Change{Kind: Added, Subject: subject, Name: fmt.Sprint(name)})
		case to == nil:
			changes = append(changes, Change{Kind: Removed, Subject: subject, Name: fmt.Sprint(name)})
		default:
			changes = append(changes, compare(subject, fmt.Sprint(name), describe(from), describe(to))...)
			changes = append(changes, diffKeys(fmt.Sprint(name), from, to)...)
		}
	}
	return changes
}

func compare(subject Subject, name string, from, to fields) []Change {
	var changes []Change
	for _, field := range slices.Sorted(maps.Keys(to)) {
		if from[field] != to[field] {
			changes = append(changes, Change{Kind: Changed, Subject: subject, Name: name, Field: field, From: from[field], To: to[field]})
		}
	}
	return changes
}

// diffKeys counts the keys that a workspace gets and loses; other entries have none.
func diffKeys(name string, before, after any) []Change {
	from, ok := before.(*policy.Workspace)
	to, also := after.(*policy.Workspace)
	if !ok || !also {
		return nil
	}
	added, withdrawn := missing(to.Keys, from.Keys), missing(from.Keys, to.Keys)
	if added+withdrawn == 0 {
		return nil
	}
	return []Change{{
		Kind: Changed, Subject: Workspace, Name: name, Field: FieldKeys, From: fmt.Sprintf("%d keys", len(from.Keys)),
		To: fmt.Sprintf("%d keys: %d added, %d withdrawn", len(to.Keys), added, withdrawn),
	}}
}

// missing returns how many keys are not among the others.
func missing(keys, others []string) int {
	n := 0
	for _, key := range keys {
		if !slices.Contains(others, key) {
			n++
		}
	}
	return n
}

package inventory

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"strings"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/jsonc"
)

// Limits on the values of an inventory.
const (
	maxSlots       = 1024
	maxConnections = 10_000
	maxWeight      = 1_000
	keyHashPrefix  = "sha256:"
	keyHashBytes   = 32
)

// PublicWorkspace is the workspace, and so the user name, of callers without a key.
const PublicWorkspace WorkspaceName = "public"

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// checker collects the problems of an inventory.
type checker struct {
	inv         *Inventory
	problems    []jsonc.Problem
	dataCentres map[DataCentre]bool
	services    map[group.Service]bool
}

// Check returns every problem of the inventory with its JSON pointer.
func (inv *Inventory) Check() []jsonc.Problem {
	c := &checker{inv: inv, dataCentres: make(map[DataCentre]bool), services: make(map[group.Service]bool)}
	c.checkRegions()
	c.checkInstances()
	c.checkServices()
	c.checkWorkspaces()
	c.checkRoutes()
	return c.problems
}

func (c *checker) report(remedy, pointer, format string, args ...any) {
	c.problems = append(c.problems, jsonc.Problem{Pointer: pointer, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

// checkName checks that a name is valid and unique among its kind.
func (c *checker) checkName(pointer, kind, name string, seen map[string]bool) {
	if !namePattern.MatchString(name) {
		c.report("use 1 to 63 lower-case letters, digits, dots and hyphens", pointer, "%s name %q is not valid", kind, name)
		return
	}
	if seen[name] {
		c.report("give each one its own name", pointer, "%s %q stands twice", kind, name)
	}
	seen[name] = true
}

func (c *checker) checkRegions() {
	seen := make(map[string]bool)
	seenDataCentres := make(map[string]bool)
	for i, region := range c.inv.Regions {
		pointer := fmt.Sprintf("/regions/%d", i)
		c.checkName(pointer+"/name", "region", string(region.Name), seen)
		if len(region.DataCentres) == 0 {
			c.report("list at least one data centre", pointer, "region %q has no data centre", region.Name)
		}
		for j, dc := range region.DataCentres {
			c.checkName(fmt.Sprintf("%s/dataCentres/%d", pointer, j), "data centre", string(dc), seenDataCentres)
			c.dataCentres[dc] = true
		}
	}
}

func (c *checker) checkDataCentre(pointer string, dc DataCentre) {
	if !c.dataCentres[dc] {
		c.report("add it to a region or correct the name", pointer+"/dataCentre", "data centre %q stands in no region", dc)
	}
}

func (c *checker) checkInstances() {
	seen := make(map[string]bool)
	for i, instance := range c.inv.Instances {
		pointer := fmt.Sprintf("/instances/%d", i)
		c.checkName(pointer+"/name", "instance", string(instance.Name), seen)
		c.checkDataCentre(pointer, instance.DataCentre)
	}
}

func (c *checker) checkServices() {
	seen := make(map[string]bool)
	seenDatabases := make(map[string]bool)
	for i, service := range c.inv.Services {
		pointer := fmt.Sprintf("/services/%d", i)
		c.checkName(pointer+"/name", "service", string(service.Name), seen)
		c.services[service.Name] = true
		if service.Slots < 1 || service.Slots > maxSlots {
			c.report(fmt.Sprintf("write 1 to %d", maxSlots), pointer+"/slots", "service %q has %d slots", service.Name, service.Slots)
		}
		if service.Connections < 1 || service.Connections > maxConnections {
			c.report(fmt.Sprintf("write 1 to %d", maxConnections), pointer+"/connections",
				"service %q allows %d connections", service.Name, service.Connections)
		}
		if len(service.Databases) == 0 {
			c.report("list its databases", pointer, "service %q has no database", service.Name)
		}
		for j, database := range service.Databases {
			databasePointer := fmt.Sprintf("%s/databases/%d", pointer, j)
			c.checkName(databasePointer+"/name", "database", string(database.Name), seenDatabases)
			c.checkDataCentre(databasePointer, database.DataCentre)
		}
	}
}

func (c *checker) checkWorkspaces() {
	seen := make(map[string]bool)
	for i, workspace := range c.inv.Workspaces {
		pointer := fmt.Sprintf("/workspaces/%d", i)
		c.checkName(pointer+"/name", "workspace", string(workspace.Name), seen)
		if workspace.Name == PublicWorkspace && len(workspace.Keys) > 0 {
			c.report("remove the keys or rename the workspace", pointer+"/keys", "workspace %q is for callers without a key", PublicWorkspace)
		}
		if !(workspace.Rate > 0) {
			c.report("write the requests a second", pointer+"/rate", "workspace %q needs a rate above 0", workspace.Name)
		}
		if !(workspace.Burst >= 1) {
			c.report("write 1 or more", pointer+"/burst", "workspace %q needs a burst of at least 1", workspace.Name)
		}
		if workspace.Weight < 0 || workspace.Weight > maxWeight {
			c.report(fmt.Sprintf("write 1 to %d", maxWeight), pointer+"/weight", "workspace %q has weight %d", workspace.Name, workspace.Weight)
		}
		c.checkKeys(pointer, workspace)
	}
}

func (c *checker) checkKeys(pointer string, workspace Workspace) {
	seen := make(map[string]bool)
	for i, key := range workspace.Keys {
		keyPointer := fmt.Sprintf("%s/keys/%d", pointer, i)
		c.checkName(keyPointer+"/id", "key", string(key.ID), seen)
		text, found := strings.CutPrefix(key.Hash, keyHashPrefix)
		raw, err := hex.DecodeString(text)
		if !found || err != nil || len(raw) != keyHashBytes {
			c.report(`write "sha256:" and 64 hexadecimal digits, as "lentilctl key create" prints`, keyPointer+"/hash",
				"the hash of key %q is not valid", key.ID)
		}
	}
}

func (c *checker) checkRoutes() {
	seen := make(map[string]bool)
	for i, route := range c.inv.Routes {
		pointer := fmt.Sprintf("/routes/%d", i)
		c.checkName(pointer+"/name", "route", string(route.Name), seen)
		if route.Service != "" && !c.services[route.Service] {
			c.report("add the service or correct the name", pointer+"/service", "route %q names the unknown service %q", route.Name, route.Service)
		}
		c.checkOneOf(pointer+"/access", "access", string(route.Access), string(AccessRead), string(AccessWrite))
		c.checkOneOf(pointer+"/priority", "priority", string(route.Priority), string(PriorityHigh), string(PriorityNormal), string(PriorityLow))
		c.checkOneOf(pointer+"/cutOff", "cutOff", string(route.CutOff), string(CutOffRefuse), string(CutOffServe))
		if route.MaxStaleness < 0 {
			c.report(`write for example "500ms"`, pointer+"/maxStaleness", "route %q has a negative staleness", route.Name)
		}
		if route.Access == AccessWrite && route.MaxStaleness != 0 {
			c.report("remove maxStaleness or set access to read", pointer+"/maxStaleness", "route %q writes, so it has no staleness", route.Name)
		}
		if route.Access == AccessWrite && route.CutOff == CutOffServe {
			c.report(`set cutOff to "refuse"`, pointer+"/cutOff", "route %q writes, so a cut-off entry cannot serve it", route.Name)
		}
	}
}

func (c *checker) checkOneOf(pointer, field, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	c.report("write one of: "+strings.Join(allowed, ", "), pointer, "%s %q is not known", field, value)
}

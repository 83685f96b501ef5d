package inventory

import (
	"reflect"
	"slices"

	"lentilwind.dev/lentilwind/group"
)

// Change holds the elements of a list that were added or replaced and the names of those that were removed.
type Change[K ~string, V any] struct {
	Set     []V `json:"set,omitempty" cbor:"1,keyasint,omitempty"`
	Removed []K `json:"removed,omitempty" cbor:"2,keyasint,omitempty"`
}

// Delta holds the changes that turn one inventory into its successor.
type Delta struct {
	From       Revision                         `json:"from" cbor:"1,keyasint"`
	To         Revision                         `json:"to" cbor:"2,keyasint"`
	Regions    Change[RegionName, Region]       `json:"regions" cbor:"3,keyasint,omitempty"`
	Instances  Change[InstanceName, Instance]   `json:"instances" cbor:"4,keyasint,omitempty"`
	Services   Change[group.Service, Service]   `json:"services" cbor:"5,keyasint,omitempty"`
	Workspaces Change[WorkspaceName, Workspace] `json:"workspaces" cbor:"6,keyasint,omitempty"`
	Routes     Change[RouteName, Route]         `json:"routes" cbor:"7,keyasint,omitempty"`
}

// Diff returns the delta from old to current; a nil old inventory is treated as empty.
func Diff(from Revision, old *Inventory, to Revision, current *Inventory) Delta {
	if old == nil {
		old = &Inventory{}
	}
	return Delta{
		From: from, To: to,
		Regions:    diffList(old.Regions, current.Regions, regionName),
		Instances:  diffList(old.Instances, current.Instances, instanceName),
		Services:   diffList(old.Services, current.Services, serviceName),
		Workspaces: diffList(old.Workspaces, current.Workspaces, workspaceName),
		Routes:     diffList(old.Routes, current.Routes, routeName),
	}
}

// Apply returns the successor of an inventory; the original is not modified.
func (d Delta) Apply(old *Inventory) *Inventory {
	if old == nil {
		old = &Inventory{}
	}
	return &Inventory{
		Regions:    applyList(old.Regions, d.Regions, regionName),
		Instances:  applyList(old.Instances, d.Instances, instanceName),
		Services:   applyList(old.Services, d.Services, serviceName),
		Workspaces: applyList(old.Workspaces, d.Workspaces, workspaceName),
		Routes:     applyList(old.Routes, d.Routes, routeName),
	}
}

func regionName(r Region) RegionName          { return r.Name }
func instanceName(i Instance) InstanceName    { return i.Name }
func serviceName(s Service) group.Service     { return s.Name }
func workspaceName(w Workspace) WorkspaceName { return w.Name }
func routeName(r Route) RouteName             { return r.Name }

func diffList[K ~string, V any](old, current []V, name func(V) K) Change[K, V] {
	before := make(map[K]V, len(old))
	for _, v := range old {
		before[name(v)] = v
	}
	var change Change[K, V]
	for _, v := range current {
		previous, found := before[name(v)]
		delete(before, name(v))
		if !found || !reflect.DeepEqual(previous, v) {
			change.Set = append(change.Set, v)
		}
	}
	for k := range before {
		change.Removed = append(change.Removed, k)
	}
	slices.Sort(change.Removed)
	return change
}

func applyList[K ~string, V any](old []V, change Change[K, V], name func(V) K) []V {
	set := make(map[K]V, len(change.Set))
	for _, v := range change.Set {
		set[name(v)] = v
	}
	result := make([]V, 0, len(old)+len(change.Set))
	for _, v := range old {
		k := name(v)
		if slices.Contains(change.Removed, k) {
			continue
		}
		if replacement, found := set[k]; found {
			v = replacement
			delete(set, k)
		}
		result = append(result, v)
	}
	for _, v := range change.Set {
		if _, pending := set[name(v)]; pending {
			result = append(result, v)
		}
	}
	return result
}

package fleet

import (
	"fmt"
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/jsonc"
)

// Layout describes the processes and the inventory of a fleet.
type Layout struct {
	Region      inventory.RegionName
	DataCentres []inventory.DataCentre
	// Control and Entries are numbers of processes, which are distributed round-robin over the data centres.
	Control int
	Entries int
	// Services is the number of services, named Prefix-1, Prefix-2 and so on; each has Replicas databases in different data centres.
	Prefix      string
	Services    int
	Replicas    int
	Slots       int
	Connections int
	Workspaces  []inventory.Workspace
	Routes      []inventory.Route
	// ApplyDelay and ConnectTime are settings of the simulated databases.
	ApplyDelay  time.Duration
	ConnectTime time.Duration
}

const (
	slotsPerService    = 3
	replicasPerService = 3
	serviceCount       = 3
	entryCount         = 8
	controlCount       = 3
	applyDelay         = 50 * time.Millisecond
	connectTime        = 10 * time.Millisecond
)

// TresRios returns the layout of the sample fleet Alfarería Tres Ríos.
func TresRios() Layout {
	return Layout{
		Region:      "andina",
		DataCentres: []inventory.DataCentre{"raquira", "bogota-norte", "tunja", "chiquinquira"},
		Control:     controlCount, Entries: entryCount,
		Prefix: "inventario", Services: serviceCount, Replicas: replicasPerService, Slots: slotsPerService, Connections: 20,
		Workspaces: workspaces("stalls", 400, "florists", 300, "online", 300, "museum", 60, "fairs", 60, "schools", 40, "hotels", 40, "kiln", 40),
		Routes: []inventory.Route{
			{
				Name: "lookup", Access: inventory.AccessRead, MaxStaleness: jsonc.Duration(time.Second),
				OpenToAll: true, Repeatable: true, Priority: inventory.PriorityLow, CutOff: inventory.CutOffServe,
			},
			{Name: "order", Access: inventory.AccessWrite, Priority: inventory.PriorityHigh},
			{Name: "restock", Access: inventory.AccessWrite, Priority: inventory.PriorityHigh},
		},
		ApplyDelay: applyDelay, ConnectTime: connectTime,
	}
}

// Clydeside returns the layout of the sample fleet Clydeside Burgh Works Department.
func Clydeside() Layout {
	return Layout{
		Region:      "west-scotland",
		DataCentres: []inventory.DataCentre{"govan-depot", "paisley-depot", "cathcart-hall", "dalmarnock-works"},
		Control:     controlCount, Entries: entryCount,
		Prefix: "muster-db", Services: serviceCount, Replicas: replicasPerService, Slots: slotsPerService, Connections: 40,
		Workspaces: workspaces("gritters", 300, "bins", 300, "mains", 200, "payroll", 100, "parks", 60, "roads", 60, "lamps", 40, "stores", 40),
		Routes: []inventory.Route{
			{Name: "posting", Access: inventory.AccessWrite, Priority: inventory.PriorityHigh},
			{
				Name: "roll", Access: inventory.AccessRead, MaxStaleness: jsonc.Duration(time.Second),
				Repeatable: true, Priority: inventory.PriorityNormal, CutOff: inventory.CutOffServe,
			},
			{
				Name: "payroll", Access: inventory.AccessRead, MaxStaleness: jsonc.Duration(time.Minute),
				Repeatable: true, Priority: inventory.PriorityLow, CutOff: inventory.CutOffServe,
			},
		},
		ApplyDelay: applyDelay, ConnectTime: connectTime,
	}
}

// workspaces converts pairs of name and rate, in requests per second, to workspaces with a burst of one second's rate, and
// adds the public workspace.
func workspaces(pairs ...any) []inventory.Workspace {
	var list []inventory.Workspace
	for i := 0; i < len(pairs); i += 2 {
		rate := float64(pairs[i+1].(int))
		list = append(list, inventory.Workspace{Name: inventory.WorkspaceName(pairs[i].(string)), Rate: rate, Burst: rate, Weight: 1})
	}
	return append(list, inventory.Workspace{Name: inventory.PublicWorkspace, Rate: 200, Burst: 200, Weight: 1})
}

// placement is the name, data centre and number of a process in the layout.
type placement struct {
	name       string
	dataCentre int
	number     int
}

// distribute places n processes in the data centres round-robin.
func (l Layout) distribute(prefix string, n int) []placement {
	placements := make([]placement, n)
	for i := range placements {
		placements[i] = placement{fmt.Sprintf("%s-%d", prefix, i+1), i % len(l.DataCentres), i}
	}
	return placements
}

// databases returns the databases of all services; consecutive databases of a service are in different data centres.
func (l Layout) databases() []databasePlacement {
	var list []databasePlacement
	for s := range l.Services {
		for r := range l.Replicas {
			service := fmt.Sprintf("%s-%d", l.Prefix, s+1)
			list = append(list, databasePlacement{
				placement: placement{fmt.Sprintf("%s-%c", service, 'a'+r), (s + r) % len(l.DataCentres), s*l.Replicas + r},
				service:   group.Service(service),
				replica:   r,
			})
		}
	}
	return list
}

// databasePlacement is the placement of a database with its service.
type databasePlacement struct {
	placement
	service group.Service
	// replica is the index of the database within its service.
	replica int
}

// Inventory returns the inventory of the layout with the given keys for each workspace.
func (l Layout) Inventory(keys map[inventory.WorkspaceName][]inventory.Key) inventory.Inventory {
	inv := inventory.Inventory{
		Regions: []inventory.Region{{Name: l.Region, DataCentres: l.DataCentres}},
		Routes:  l.Routes,
	}
	for _, e := range l.distribute("entry", l.Entries) {
		inv.Instances = append(inv.Instances, inventory.Instance{Name: inventory.InstanceName(e.name), DataCentre: l.DataCentres[e.dataCentre]})
	}
	for s := range l.Services {
		service := inventory.Service{Name: group.Service(fmt.Sprintf("%s-%d", l.Prefix, s+1)), Slots: l.Slots, Connections: l.Connections}
		for _, d := range l.databases() {
			if d.service == service.Name {
				service.Databases = append(service.Databases, inventory.Database{Name: group.Server(d.name), DataCentre: l.DataCentres[d.dataCentre]})
			}
		}
		inv.Services = append(inv.Services, service)
	}
	for _, w := range l.Workspaces {
		w.Keys = append([]inventory.Key{}, keys[w.Name]...)
		inv.Workspaces = append(inv.Workspaces, w)
	}
	return inv
}

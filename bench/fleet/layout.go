package fleet

import (
	"fmt"
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/jsonc"
)

// Layout says what a fleet consists of.
type Layout struct {
	Region      inventory.RegionName
	DataCentres []inventory.DataCentre
	// Control and Entries are numbers of processes; they spread over the data centres in turn.
	Control int
	Entries int
	// Services are named with Prefix and a number; each has Replicas databases in different data centres.
	Prefix      string
	Services    int
	Replicas    int
	Slots       int
	Connections int
	Workspaces  []inventory.Workspace
	Routes      []inventory.Route
	// ApplyDelay and ConnectTime are properties of the stand-in databases.
	ApplyDelay  time.Duration
	ConnectTime time.Duration
}

const (
	slots       = 3
	replicas    = 3
	services    = 3
	entries     = 8
	control     = 3
	applyDelay  = 50 * time.Millisecond
	connectTime = 10 * time.Millisecond
)

// TresRios returns the layout of Alfarería Tres Ríos.
func TresRios() Layout {
	return Layout{
		Region:      "andina",
		DataCentres: []inventory.DataCentre{"raquira", "bogota-norte", "tunja", "chiquinquira"},
		Control:     control, Entries: entries,
		Prefix: "inventario", Services: services, Replicas: replicas, Slots: slots, Connections: 20,
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

// Clydeside returns the layout of Clydeside Burgh Works Department.
func Clydeside() Layout {
	return Layout{
		Region:      "west-scotland",
		DataCentres: []inventory.DataCentre{"govan-depot", "paisley-depot", "cathcart-hall", "dalmarnock-works"},
		Control:     control, Entries: entries,
		Prefix: "muster-db", Services: services, Replicas: replicas, Slots: slots, Connections: 40,
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

// workspaces pairs names with rates in requests a second; the burst is one second's worth.
func workspaces(pairs ...any) []inventory.Workspace {
	var list []inventory.Workspace
	for i := 0; i < len(pairs); i += 2 {
		rate := float64(pairs[i+1].(int))
		list = append(list, inventory.Workspace{Name: inventory.WorkspaceName(pairs[i].(string)), Rate: rate, Burst: rate, Weight: 1})
	}
	return append(list, inventory.Workspace{Name: inventory.PublicWorkspace, Rate: 200, Burst: 200, Weight: 1})
}

// member is the place of one process of the layout.
type member struct {
	name       string
	dataCentre int
	number     int
}

func (l Layout) spread(prefix string, n int) []member {
	members := make([]member, n)
	for i := range members {
		members[i] = member{fmt.Sprintf("%s-%d", prefix, i+1), i % len(l.DataCentres), i}
	}
	return members
}

// databases lists the databases of all services; those of one service stand in different data centres.
func (l Layout) databases() []placedDatabase {
	var list []placedDatabase
	for s := range l.Services {
		for r := range l.Replicas {
			service := fmt.Sprintf("%s-%d", l.Prefix, s+1)
			list = append(list, placedDatabase{
				member:  member{fmt.Sprintf("%s-%c", service, 'a'+r), (s + r) % len(l.DataCentres), s*l.Replicas + r},
				service: group.Service(service),
				replica: r,
			})
		}
	}
	return list
}

// placedDatabase is the place of one database of the layout.
type placedDatabase struct {
	member
	service group.Service
	// replica numbers the databases of one service.
	replica int
}

// Inventory returns the inventory of the layout with the given keys of each workspace.
func (l Layout) Inventory(keys map[inventory.WorkspaceName][]inventory.Key) inventory.Inventory {
	inv := inventory.Inventory{
		Regions: []inventory.Region{{Name: l.Region, DataCentres: l.DataCentres}},
		Routes:  l.Routes,
	}
	for _, e := range l.spread("entry", l.Entries) {
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

package evacuation

import (
	"slices"
	"time"

	"lentilwind.dev/lentilwind/inventory"
)

// Version numbers the changes of the evacuations; it is the index of the change in the journal.
type Version uint64

// Evacuation withdraws the databases of one data centre from service.
type Evacuation struct {
	DataCentre inventory.DataCentre `cbor:"1,keyasint"`
	// Grace is how long open transactions and primaries there may still be used, counted from the sending of the request for the list.
	Grace time.Duration `cbor:"2,keyasint,omitempty"`
}

// List holds the evacuations in force, as control sends it to entries.
type List struct {
	Version     Version      `cbor:"1,keyasint"`
	Evacuations []Evacuation `cbor:"2,keyasint,omitempty"`
}

// Set holds the names of the evacuated data centres in order. It must not be modified.
type Set []inventory.DataCentre

// Contains reports whether a data centre is evacuated.
func (s Set) Contains(name inventory.DataCentre) bool { return slices.Contains(s, name) }

// With returns the set after the start or the end of an evacuation, and whether it differs.
func (s Set) With(name inventory.DataCentre, evacuated bool) (Set, bool) {
	position, found := slices.BinarySearch(s, name)
	switch {
	case found == evacuated:
		return s, false
	case evacuated:
		return slices.Insert(slices.Clone(s), position, name), true
	default:
		return slices.Delete(slices.Clone(s), position, position+1), true
	}
}

// Use is what a database may be used for.
type Use string

// The uses.
const (
	// Unrestricted means that the data centre is not evacuated.
	Unrestricted Use = "unrestricted"
	// Finishing means that nothing new may begin, except on a primary whose successor does not lead yet.
	Finishing Use = "finishing"
	// Withdrawn means that nothing may be sent.
	Withdrawn Use = "withdrawn"
)

// Table is an entry's view of the evacuations. The zero value holds none.
type Table struct {
	version Version
	// until holds the end of the grace period of each evacuated data centre.
	until map[inventory.DataCentre]time.Time
}

// NewTable returns the table for a list that was requested at the given time.
func NewTable(list List, requested time.Time) *Table {
	t := &Table{version: list.Version, until: make(map[inventory.DataCentre]time.Time, len(list.Evacuations))}
	for _, e := range list.Evacuations {
		t.until[e.DataCentre] = requested.Add(e.Grace)
	}
	return t
}

// Version returns the version of the list.
func (t *Table) Version() Version { return t.version }

// Use returns what the databases of a data centre may be used for now.
func (t *Table) Use(name inventory.DataCentre, now time.Time) Use {
	until, found := t.until[name]
	switch {
	case !found:
		return Unrestricted
	case now.Before(until):
		return Finishing
	default:
		return Withdrawn
	}
}

// Names returns the evacuated data centres in order.
func (t *Table) Names() []inventory.DataCentre {
	var names []inventory.DataCentre
	for name := range t.until {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// graceFraction is the part of the bound in which an evacuation must be in force that primaries and open transactions may use. The rest
// covers the way of the last statement to its database.
const graceFraction = 0.5

// Grace returns how long the databases of a data centre may still finish work. The evacuation was ordered at the given time; a leader that
// does not know the time passes zero, and nothing may be finished any more.
func Grace(bound time.Duration, ordered, now time.Time) time.Duration {
	if ordered.IsZero() {
		return 0
	}
	return max(0, time.Duration(graceFraction*float64(bound))-now.Sub(ordered))
}

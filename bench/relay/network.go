package relay

import (
	"net/netip"
	"sync"
	"time"
)

// Zone is the part of the network that an address belongs to, for example a data centre.
type Zone string

// Fault is what happens to the traffic between two zones.
type Fault struct {
	// Partitioned drops everything.
	Partitioned bool
	// Delay holds traffic back in each direction.
	Delay time.Duration
}

// Network tells zones of addresses and the faults between them; relays ask it for each packet.
type Network struct {
	zoneOf func(netip.Addr) Zone

	mu      sync.RWMutex
	faults  map[[2]Zone]Fault
	general Fault
}

// NewNetwork returns a network without faults.
func NewNetwork(zoneOf func(netip.Addr) Zone) *Network {
	return &Network{zoneOf: zoneOf, faults: make(map[[2]Zone]Fault)}
}

// SetFault puts a fault in force in both directions between two zones.
func (n *Network) SetFault(a, b Zone, fault Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[[2]Zone{a, b}] = fault
	n.faults[[2]Zone{b, a}] = fault
}

// SetDefaultDelay delays traffic between all different zones that have no fault of their own.
func (n *Network) SetDefaultDelay(delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.general = Fault{Delay: delay}
}

// Isolate cuts a zone off from the others.
func (n *Network) Isolate(zone Zone, others ...Zone) {
	for _, other := range others {
		if other != zone {
			n.SetFault(zone, other, Fault{Partitioned: true})
		}
	}
}

// Heal removes every fault between zones.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.faults)
}

// between returns the fault that holds between two addresses now.
func (n *Network) between(a, b netip.Addr) Fault {
	from, to := n.zoneOf(a), n.zoneOf(b)
	n.mu.RLock()
	defer n.mu.RUnlock()
	if fault, found := n.faults[[2]Zone{from, to}]; found {
		return fault
	}
	if from == to {
		return Fault{}
	}
	return n.general
}

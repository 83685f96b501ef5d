package relay

import (
	"net/netip"
	"sync"
	"time"
)

// Zone is a part of the network, for example a data centre.
type Zone string

// Fault is a fault that affects the traffic between two zones.
type Fault struct {
	// Partitioned drops UDP packets and holds back TCP data until the partition is healed.
	Partitioned bool
	// Delay is added to traffic in each direction.
	Delay time.Duration
}

// Network holds the faults between zones; relays look up the current fault for each packet.
type Network struct {
	zoneOf func(netip.Addr) Zone

	mu           sync.RWMutex
	faults       map[[2]Zone]Fault
	defaultFault Fault
}

// NewNetwork returns a network without faults.
func NewNetwork(zoneOf func(netip.Addr) Zone) *Network {
	return &Network{zoneOf: zoneOf, faults: make(map[[2]Zone]Fault)}
}

// SetFault sets the fault between two zones in both directions.
func (n *Network) SetFault(a, b Zone, fault Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[[2]Zone{a, b}] = fault
	n.faults[[2]Zone{b, a}] = fault
}

// SetDefaultDelay sets the delay between different zones for which no fault is set.
func (n *Network) SetDefaultDelay(delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.defaultFault = Fault{Delay: delay}
}

// Isolate partitions a zone from the others.
func (n *Network) Isolate(zone Zone, others ...Zone) {
	for _, other := range others {
		if other != zone {
			n.SetFault(zone, other, Fault{Partitioned: true})
		}
	}
}

// Heal removes all faults set between zones; the default delay stays.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.faults)
}

// faultBetween returns the current fault between the zones of two addresses.
func (n *Network) faultBetween(a, b netip.Addr) Fault {
	from, to := n.zoneOf(a), n.zoneOf(b)
	n.mu.RLock()
	defer n.mu.RUnlock()
	if fault, found := n.faults[[2]Zone{from, to}]; found {
		return fault
	}
	if from == to {
		return Fault{}
	}
	return n.defaultFault
}

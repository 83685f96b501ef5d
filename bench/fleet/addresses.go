package fleet

import (
	"errors"
	"fmt"
	"net"
	"net/netip"

	"lentilwind.dev/bench/relay"
	"lentilwind.dev/lentilwind/inventory"
)

// Ports, and parts of the loopback addresses 127.BLOCK.DATACENTRE.HOST. Every process has an address of its own. With relays,
// the relay listens on the public port and the process behind it on the private one.
const (
	callersPort          = 6432
	privateCallersPort   = 6433
	peerPort             = 7000
	privatePeerPort      = 7001
	operatorsPort        = 7100
	httpPort             = 7200
	privateHTTPPort      = 7201
	databasePort         = 5432
	privateDatabasePort  = 5433
	databaseControlPort  = 5436
	lockPort             = 4999
	firstBlockOctet      = 20
	blockCount           = 200
	clientsDataCentre    = 250
	entryHostOffset      = 10
	controlHostOffset    = 100
	databaseHostOffset   = 150
	blockOctetIndex      = 1
	dataCentreOctetIndex = 2
	clientsZoneName      = "clients"
)

// ErrNoAddresses means that every block of loopback addresses is in use.
var ErrNoAddresses = errors.New("fleet: no free block of loopback addresses")

// addressBlock is a network 127.N.0.0/16 reserved for one fleet.
type addressBlock struct {
	octet byte
	lock  net.Listener
}

// reserveAddressBlock reserves a free block. The lock is a listening socket, so it is released when the process ends.
func reserveAddressBlock() (*addressBlock, error) {
	for i := range blockCount {
		octet := byte(firstBlockOctet + i)
		lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", octet, lockPort))
		if err == nil {
			return &addressBlock{octet: octet, lock: lock}, nil
		}
	}
	return nil, ErrNoAddresses
}

func (b *addressBlock) address(dataCentre, host int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, b.octet, byte(dataCentre), byte(host)}), port)
}

// zoneOf returns a function that maps an address of the block to its data centre, and any other address to the clients' zone.
func (b *addressBlock) zoneOf(names []inventory.DataCentre) func(netip.Addr) relay.Zone {
	return func(a netip.Addr) relay.Zone {
		if !a.Is4() || a.As4()[blockOctetIndex] != b.octet {
			return clientsZoneName
		}
		if dataCentre := int(a.As4()[dataCentreOctetIndex]); dataCentre < len(names) {
			return relay.Zone(names[dataCentre])
		}
		return clientsZoneName
	}
}

func (b *addressBlock) release() { _ = b.lock.Close() }

package fleet

import (
	"errors"
	"fmt"
	"net"
	"net/netip"

	"lentilwind.dev/bench/relay"
	"lentilwind.dev/lentilwind/inventory"
)

// Ports that every process uses on its own loopback address. A relay stands at the public port and
// the process behind it at the private one.
const (
	callersPort         = 6432
	privateCallersPort  = 6433
	peerPort            = 7000
	privatePeerPort     = 7001
	operatorsPort       = 7100
	httpPort            = 7200
	privateHTTPPort     = 7201
	databasePort        = 5432
	privateDatabasePort = 5433
	databaseControlPort = 5436
	lockPort            = 4999
	firstBlock          = 20
	blocks              = 200
	clientsDataCentre   = 250
	entryHostOffset     = 10
	controlHostOffset   = 100
	databaseHostOffset  = 150
	blockOctet          = 1
	zoneOctet           = 2
	clientsZoneName     = "clients"
)

// ErrNoAddresses tells that every block of loopback addresses is taken.
var ErrNoAddresses = errors.New("fleet: no block of loopback addresses is free")

// block is a range 127.N.0.0/16 that one fleet has for itself.
type block struct {
	octet byte
	lock  net.Listener
}

// reserveBlock takes a free block; the lock is a listening socket, so that it ends with the process.
func reserveBlock() (*block, error) {
	for i := range blocks {
		octet := byte(firstBlock + i)
		lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", octet, lockPort))
		if err == nil {
			return &block{octet: octet, lock: lock}, nil
		}
	}
	return nil, ErrNoAddresses
}

func (b *block) address(dataCentre, host int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, b.octet, byte(dataCentre), byte(host)}), port)
}

// zoneOf names the data centre of an address of the block.
func (b *block) zoneOf(names []inventory.DataCentre) func(netip.Addr) relay.Zone {
	return func(a netip.Addr) relay.Zone {
		if !a.Is4() || a.As4()[blockOctet] != b.octet {
			return clientsZoneName
		}
		if dataCentre := int(a.As4()[zoneOctet]); dataCentre < len(names) {
			return relay.Zone(names[dataCentre])
		}
		return clientsZoneName
	}
}

func (b *block) release() { _ = b.lock.Close() }

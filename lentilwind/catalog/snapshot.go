package catalog

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/journal"
	"lentilwind.dev/lentilwind/protocol"
)

// snapshotVersion is the version of the snapshot format.
const snapshotVersion = 1

// snapshot is the encoded form of a state. Its lists are sorted, so equal states have equal snapshots.
type snapshot struct {
	Version    uint64                     `cbor:"1,keyasint"`
	Index      journal.Index              `cbor:"2,keyasint"`
	Records    []protocol.InventoryRecord `cbor:"3,keyasint"`
	Groups     []group.Configuration      `cbor:"4,keyasint"`
	Operations []savedOperation           `cbor:"5,keyasint"`
	Servers    []savedServer              `cbor:"6,keyasint"`
	Pairs      []savedPair                `cbor:"7,keyasint"`
	Addresses  []savedAddress             `cbor:"8,keyasint,omitempty"`
}

type savedAddress struct {
	Group   group.ID `cbor:"1,keyasint"`
	Address string   `cbor:"2,keyasint"`
}

type savedOperation struct {
	ID     protocol.OperationID `cbor:"1,keyasint"`
	Digest []byte               `cbor:"2,keyasint"`
	Result Result               `cbor:"3,keyasint"`
}

type savedServer struct {
	Server group.Server `cbor:"1,keyasint"`
	Count  uint32       `cbor:"2,keyasint"`
}

type savedPair struct {
	First  group.Server `cbor:"1,keyasint"`
	Second group.Server `cbor:"2,keyasint"`
	Count  uint32       `cbor:"3,keyasint"`
	Last   time.Time    `cbor:"4,keyasint"`
}

// Snapshot encodes the whole state; equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	saved := snapshot{
		Version: snapshotVersion,
		Index:   s.index,
		Records: s.records,
		Groups:  s.Groups(),
	}
	for _, id := range s.operations.order {
		recorded := s.operations.results[id]
		saved.Operations = append(saved.Operations, savedOperation{ID: id, Digest: recorded.digest[:], Result: recorded.result})
	}
	for _, server := range slices.Sorted(maps.Keys(s.failures.servers)) {
		saved.Servers = append(saved.Servers, savedServer{Server: server, Count: s.failures.servers[server]})
	}
	for _, p := range slices.SortedFunc(maps.Keys(s.failures.pairs), pair.compare) {
		count := s.failures.pairs[p]
		saved.Pairs = append(saved.Pairs, savedPair{First: p.first, Second: p.second, Count: count.count, Last: count.last})
	}
	for _, id := range slices.SortedFunc(maps.Keys(s.addresses), group.ID.Compare) {
		saved.Addresses = append(saved.Addresses, savedAddress{Group: id, Address: s.addresses[id]})
	}
	data, err := protocol.Encode(saved)
	if err != nil {
		return nil, fmt.Errorf("catalog: encode snapshot: %w", err)
	}
	return data, nil
}

// Restore decodes a state from its snapshot.
func Restore(data []byte) (*State, error) {
	var saved snapshot
	if err := protocol.Decode(data, &saved); err != nil {
		return nil, fmt.Errorf("catalog: decode snapshot: %w", err)
	}
	if saved.Version != snapshotVersion {
		return nil, fmt.Errorf("catalog: unsupported snapshot version %d; this build supports version %d", saved.Version, snapshotVersion)
	}
	s := &State{index: saved.Index, records: saved.Records, groups: make(map[group.ID]group.Configuration, len(saved.Groups))}
	if n := len(s.records); n > 0 {
		parsed, err := inventory.Read([]byte(s.records[n-1].Document))
		if err != nil {
			return nil, fmt.Errorf("catalog: this build refuses the inventory in the snapshot: %w", err)
		}
		s.parsed = parsed
	}
	for _, configuration := range saved.Groups {
		s.groups[configuration.Group] = configuration
	}
	s.addresses = make(map[group.ID]string, len(saved.Addresses))
	for _, saved := range saved.Addresses {
		s.addresses[saved.Group] = saved.Address
	}
	s.restoreOperations(saved.Operations)
	s.restoreFailures(saved)
	return s, nil
}

func (s *State) restoreOperations(saved []savedOperation) {
	s.operations.results = make(map[protocol.OperationID]operation, len(saved))
	for _, o := range saved {
		restored := operation{result: o.Result}
		copy(restored.digest[:], o.Digest)
		s.operations.order = append(s.operations.order, o.ID)
		s.operations.results[o.ID] = restored
	}
}

func (s *State) restoreFailures(saved snapshot) {
	s.failures = failureCounts{
		servers: make(map[group.Server]uint32, len(saved.Servers)),
		pairs:   make(map[pair]pairCount, len(saved.Pairs)),
	}
	for _, server := range saved.Servers {
		s.failures.servers[server.Server] = server.Count
	}
	for _, p := range saved.Pairs {
		s.failures.pairs[pair{first: p.First, second: p.Second}] = pairCount{count: p.Count, last: p.Last}
	}
}

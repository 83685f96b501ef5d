package catalog

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// Limits on the history of inventories.
const (
	maxRecords       = 4096
	maxOperations    = 8192
	maxDocuments     = 256
	maxDocumentBytes = 8 << 20
)

// digest distinguishes a resent operation from another operation with the same id.
type digest [sha256.Size]byte

func digestOf(command ApplyInventory) digest {
	sum := sha256.New()
	var base [8]byte
	binary.BigEndian.PutUint64(base[:], uint64(command.Base))
	sum.Write(base[:])
	sum.Write([]byte(command.Document))
	return digest(sum.Sum(nil))
}

// applyInventory returns the recorded result of a resent operation; otherwise it accepts the document if its base is the newest
// revision.
func (s *State) applyInventory(command ApplyInventory) Result {
	commandDigest := digestOf(command)
	if previous, found := s.operations.find(command.Operation); found {
		if previous.digest != commandDigest {
			return Result{Outcome: OutcomeInvalid, Message: fmt.Sprintf("operation %q was used for another document", command.Operation)}
		}
		return previous.result
	}
	result := s.acceptInventory(command)
	s.operations = s.operations.add(command.Operation, operation{digest: commandDigest, result: result})
	return result
}

func (s *State) acceptInventory(command ApplyInventory) Result {
	if command.Base != s.Revision() {
		return s.inventoryConflict(command.Base)
	}
	parsed, err := inventory.Read([]byte(command.Document))
	if err != nil {
		return Result{Outcome: OutcomeUnreadable, Message: err.Error()}
	}
	record := protocol.InventoryRecord{
		Revision:  command.Base + 1,
		Operation: command.Operation,
		Operator:  command.Operator,
		Accepted:  command.Accepted,
		Document:  command.Document,
	}
	s.parsed = parsed
	s.records = trimDocuments(appendRecord(s.records, record))
	record.Document = ""
	return Result{Outcome: OutcomeAccepted, Record: &record}
}

// inventoryConflict returns a conflict with the inventory that was accepted as the successor of base, or with the newest one if
// that is no longer recorded.
func (s *State) inventoryConflict(base inventory.Revision) Result {
	result := Result{
		Outcome: OutcomeConflict,
		Message: fmt.Sprintf("the inventory is at revision %d, not %d", s.Revision(), base),
	}
	winner, found := s.Record(base + 1)
	if !found {
		winner, found = s.Record(s.Revision())
	}
	if found {
		winner.Document = ""
		result.Record = &winner
	}
	return result
}

// SkipRevisions returns a state in which the accepted inventory has a revision that is higher by step, so that revisions assigned
// after this state was saved are not assigned again.
func (s *State) SkipRevisions(step inventory.Revision) *State {
	if len(s.records) == 0 {
		return s
	}
	next := *s
	record := s.records[len(s.records)-1]
	record.Revision += step
	next.records = trimDocuments(appendRecord(s.records, record))
	return &next
}

// appendRecord returns a copy with the record appended, because earlier versions of the state share the slice.
func appendRecord(records []protocol.InventoryRecord, record protocol.InventoryRecord) []protocol.InventoryRecord {
	first := max(0, len(records)+1-maxRecords)
	next := make([]protocol.InventoryRecord, 0, len(records)+1-first)
	next = append(next, records[first:]...)
	return append(next, record)
}

// trimDocuments drops the documents of old records; the newest document is always kept.
func trimDocuments(records []protocol.InventoryRecord) []protocol.InventoryRecord {
	bytes := 0
	newest := len(records) - 1
	for i := newest; i >= 0; i-- {
		bytes += len(records[i].Document)
		if i != newest && (newest-i >= maxDocuments || bytes > maxDocumentBytes) {
			records[i].Document = ""
		}
	}
	return records
}

// operation is the recorded result of an operator's change.
type operation struct {
	digest digest
	result Result
}

// operationLog holds the results of the newest operations, oldest first.
type operationLog struct {
	order   []protocol.OperationID
	results map[protocol.OperationID]operation
}

func (l operationLog) find(id protocol.OperationID) (operation, bool) {
	found, ok := l.results[id]
	return found, ok
}

// add returns a copy with the operation added, because earlier versions of the state share the log.
func (l operationLog) add(id protocol.OperationID, added operation) operationLog {
	first := max(0, len(l.order)+1-maxOperations)
	next := operationLog{
		order:   append(append(make([]protocol.OperationID, 0, len(l.order)+1-first), l.order[first:]...), id),
		results: make(map[protocol.OperationID]operation, len(l.order)+1),
	}
	for _, kept := range next.order[:len(next.order)-1] {
		next.results[kept] = l.results[kept]
	}
	next.results[id] = added
	return next
}

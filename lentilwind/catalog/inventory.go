package catalog

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// Limits of what is kept of earlier inventories.
const (
	maxRecords       = 4096
	maxOperations    = 8192
	maxDocuments     = 256
	maxDocumentBytes = 8 << 20
)

// digest tells a resend from a reused operation id.
type digest [sha256.Size]byte

func digestOf(command ApplyInventory) digest {
	sum := sha256.New()
	var base [8]byte
	binary.BigEndian.PutUint64(base[:], uint64(command.Base))
	sum.Write(base[:])
	sum.Write([]byte(command.Document))
	return digest(sum.Sum(nil))
}

// applyInventory answers a resent operation as the first time and accepts a document whose base is the newest revision.
func (s *State) applyInventory(command ApplyInventory) Result {
	sent := digestOf(command)
	if first, found := s.operations.find(command.Operation); found {
		if first.digest != sent {
			return Result{Outcome: OutcomeInvalid, Message: fmt.Sprintf("operation %q was used for another document", command.Operation)}
		}
		return first.result
	}
	result := s.acceptInventory(command)
	s.operations = s.operations.add(command.Operation, operation{digest: sent, result: result})
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

// inventoryConflict names the inventory that took the number, or the newest when that one is unknown.
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

// SkipRevisions returns a state that holds the accepted inventory under a number higher by a step, so that numbers which were given out
// after this state was saved are not given out again.
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

// appendRecord copies the records, because earlier versions of the state share them.
func appendRecord(records []protocol.InventoryRecord, record protocol.InventoryRecord) []protocol.InventoryRecord {
	first := max(0, len(records)+1-maxRecords)
	next := make([]protocol.InventoryRecord, 0, len(records)+1-first)
	next = append(next, records[first:]...)
	return append(next, record)
}

// trimDocuments drops the documents of old records; the newest is always kept.
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

// operation is the first answer to an operator's change.
type operation struct {
	digest digest
	result Result
}

// operationLog holds the answers to the newest operations, oldest first.
type operationLog struct {
	order   []protocol.OperationID
	answers map[protocol.OperationID]operation
}

func (l operationLog) find(id protocol.OperationID) (operation, bool) {
	found, ok := l.answers[id]
	return found, ok
}

// add copies the log, because earlier versions of the state share it.
func (l operationLog) add(id protocol.OperationID, answer operation) operationLog {
	first := max(0, len(l.order)+1-maxOperations)
	next := operationLog{
		order:   append(append(make([]protocol.OperationID, 0, len(l.order)+1-first), l.order[first:]...), id),
		answers: make(map[protocol.OperationID]operation, len(l.order)+1),
	}
	for _, kept := range next.order[:len(next.order)-1] {
		next.answers[kept] = l.answers[kept]
	}
	next.answers[id] = answer
	return next
}

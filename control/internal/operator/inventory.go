package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"lentilwind.dev/lentilwind/catalog"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/jsonc"
	"lentilwind.dev/lentilwind/protocol"
)

func (s *Service) showInventory(w http.ResponseWriter, r *http.Request) error {
	return s.writeRecord(w, s.cfg.Replica.State().Revision())
}

func (s *Service) showRevision(w http.ResponseWriter, r *http.Request) error {
	revision, err := parseRevision(r.PathValue("revision"))
	if err != nil {
		return err
	}
	return s.writeRecord(w, revision)
}

func (s *Service) writeRecord(w http.ResponseWriter, revision inventory.Revision) error {
	record, found := s.cfg.Replica.State().Record(revision)
	if !found || record.Document == "" {
		message := fmt.Sprintf("revision %d of the inventory is not held", revision)
		return &protocol.OperatorError{Code: protocol.ErrorNotFound, Message: message}
	}
	writeJSON(w, http.StatusOK, record)
	return nil
}

func (s *Service) showHistory(w http.ResponseWriter, _ *http.Request) error {
	writeJSON(w, http.StatusOK, s.cfg.Replica.State().History())
	return nil
}

// applyInventory validates the document and its database changes, and proposes it.
func (s *Service) applyInventory(w http.ResponseWriter, r *http.Request) error {
	var body protocol.ApplyInventory
	if err := readJSON(r, &body); err != nil {
		return err
	}
	next, err := validateChange(body)
	if err != nil {
		return err
	}
	peer, err := peerOf(r)
	if err != nil {
		return err
	}
	if err := s.checkDatabaseChanges(r.Context(), body.Base, next); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), proposeTimeout)
	defer cancel()
	result, err := s.cfg.Replica.Propose(ctx, catalog.Command{ApplyInventory: &catalog.ApplyInventory{
		Operation: body.Operation, Base: body.Base, Document: body.Document, Operator: peer.Name, Accepted: time.Now().UTC(),
	}})
	if err != nil {
		return err
	}
	return writeApplyResult(w, result)
}

func validateChange(body protocol.ApplyInventory) (*inventory.Inventory, error) {
	if body.Operation == "" || len(body.Operation) > maxOperationBytes {
		return nil, invalidRequest(fmt.Sprintf("the operation needs an id of 1 to %d bytes", maxOperationBytes))
	}
	if len(body.Document) > maxDocumentBytes {
		return nil, invalidRequest(fmt.Sprintf("the document has %d bytes; the most is %d", len(body.Document), maxDocumentBytes))
	}
	next, err := inventory.ReadComplete([]byte(body.Document))
	var problems *jsonc.Error
	if errors.As(err, &problems) {
		return nil, refusedError(problems.Problems)
	}
	return next, err
}

func refusedError(problems []jsonc.Problem) error {
	return &protocol.OperatorError{
		Code: protocol.ErrorRefused, Message: fmt.Sprintf("the document has %d problems", len(problems)), Problems: problems,
	}
}

func writeApplyResult(w http.ResponseWriter, result catalog.Result) error {
	switch result.Outcome {
	case catalog.OutcomeAccepted:
		writeJSON(w, http.StatusOK, result.Record)
		return nil
	case catalog.OutcomeConflict:
		return &protocol.OperatorError{Code: protocol.ErrorConflict, Message: result.Message, Winner: result.Record}
	}
	return invalidRequest(result.Message)
}

// showInForce waits until a revision is in force, for at most the requested time.
func (s *Service) showInForce(w http.ResponseWriter, r *http.Request) error {
	revision, err := parseRevision(r.URL.Query().Get("revision"))
	if err != nil {
		return err
	}
	waitMs, err := strconv.ParseUint("0"+r.URL.Query().Get("waitMs"), 10, 32)
	if err != nil {
		return invalidRequest("waitMs must be a number of milliseconds")
	}
	if revision > s.cfg.Replica.State().Revision() {
		message := fmt.Sprintf("revision %d of the inventory was not accepted", revision)
		return &protocol.OperatorError{Code: protocol.ErrorNotFound, Message: message}
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(waitMs)*time.Millisecond, maxWait))
	defer cancel()
	answer, err := s.cfg.Leases.WaitInForce(ctx, revision)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, answer)
	return nil
}

func parseRevision(text string) (inventory.Revision, error) {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, invalidRequest(fmt.Sprintf("%q is no revision", text))
	}
	return inventory.Revision(number), nil
}

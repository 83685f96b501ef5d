package database

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"lentilwind.dev/bench/internal/member"
	"lentilwind.dev/lentilwind/group"
)

// probeMessage asks a primary for the end of its log.
type probeMessage struct {
	Number uint64 `cbor:"1,keyasint"`
}

// serveReplica sends the log of a slot to a replica until the connection or the term ends.
func (r *serverRun) serveReplica(c *conn, backend *pgproto3.Backend) {
	backend.Send(&pgproto3.AuthenticationOk{})
	if backend.Flush() != nil {
		return
	}
	var request member.JoinRequest
	if !receiveCopy(backend, &request) || int(request.Slot) >= len(r.members) {
		return
	}
	m := r.members[request.Slot]
	reply, err := m.JoinReply(request)
	if err != nil {
		code, message := errorFields(err)
		backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: message})
		_ = backend.Flush()
		return
	}
	if !sendCopy(backend, reply) {
		return
	}
	probes := make(chan uint64, 1)
	go readProbes(c, backend, probes)
	r.sendRecords(backend, m, request.Term, reply.CommonPosition, probes)
}

// readProbes reads probes until the connection ends; only the newest is kept.
func readProbes(c *conn, backend *pgproto3.Backend, probes chan uint64) {
	defer close(probes)
	defer func() { _ = c.Close() }()
	for {
		var probe probeMessage
		if !receiveCopy(backend, &probe) {
			return
		}
		select {
		case <-probes:
		default:
		}
		probes <- probe.Number
	}
}

// sendRecords sends batches of records, each with the newest probe, until the connection or the term ends.
func (r *serverRun) sendRecords(
	backend *pgproto3.Backend, m *member.Member, term group.Term, after group.Position, probes <-chan uint64,
) {
	var probe uint64
	for {
		faults, faultsChanged := r.server.faults.watch()
		batch, changed, err := m.NextBatch(term, after)
		if err != nil {
			return
		}
		if !faults.PauseReplication && (probe > 0 || len(batch.Records) > 0) {
			batch.Probe = probe
			if !sendCopy(backend, batch) {
				return
			}
			probe = 0
			after += group.Position(len(batch.Records))
			continue
		}
		if faults.PauseReplication {
			changed = nil
		}
		var open bool
		select {
		case <-r.ctx.Done():
			return
		case <-faultsChanged:
		case <-changed:
		case probe, open = <-probes:
			if !open {
				return
			}
		}
	}
}

func sendCopy(backend *pgproto3.Backend, body any) bool {
	data, err := cbor.Marshal(body)
	if err != nil {
		panic("database: " + err.Error())
	}
	backend.Send(&pgproto3.CopyData{Data: data})
	return backend.Flush() == nil
}

func receiveCopy(backend *pgproto3.Backend, body any) bool {
	message, err := backend.Receive()
	if err != nil {
		return false
	}
	data, ok := message.(*pgproto3.CopyData)
	return ok && cbor.Unmarshal(data.Data, body) == nil
}

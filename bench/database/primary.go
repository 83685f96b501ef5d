package database

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"lentilwind.dev/bench/internal/member"
	"lentilwind.dev/lentilwind/group"
)

// probeMessage asks a primary how far its log reaches.
type probeMessage struct {
	Number uint64 `cbor:"1,keyasint"`
}

// serveReplica sends the log of a slot to a replica until it or the term ends.
func (r *run) serveReplica(c *conn, backend *pgproto3.Backend) {
	backend.Send(&pgproto3.AuthenticationOk{})
	if backend.Flush() != nil {
		return
	}
	var hello member.JoinRequest
	if !receiveCopy(backend, &hello) || int(hello.Slot) >= len(r.members) {
		return
	}
	m := r.members[hello.Slot]
	welcome, err := m.JoinReply(hello)
	if err != nil {
		code, message := describe(err)
		backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: message})
		_ = backend.Flush()
		return
	}
	if !sendCopy(backend, welcome) {
		return
	}
	probes := make(chan uint64, 1)
	go readProbes(c, backend, probes)
	r.sendRecords(backend, m, hello.Term, welcome.CommonPosition, probes)
}

// readProbes keeps the newest probe until the connection ends.
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

func (r *run) sendRecords(
	backend *pgproto3.Backend, m *member.Member, term group.Term, after group.Position, probes <-chan uint64,
) {
	var probe uint64
	for {
		faults, switched := r.server.faults.watch()
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
		case <-switched:
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

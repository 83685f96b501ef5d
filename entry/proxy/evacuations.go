package proxy

import (
	"strings"
	"time"

	"lentilwind.dev/lentilwind/evacuation"
	"lentilwind.dev/lentilwind/fleet"
	"lentilwind.dev/lentilwind/statement"
)

// Evacuations returns the newest list of evacuations that this entry obeys.
func (p *Proxy) Evacuations() evacuation.Version { return p.evacuations.Load().Version() }

// SetEvacuations obeys a newer list of evacuations, which was requested from control at the given time.
func (p *Proxy) SetEvacuations(list evacuation.List, requested time.Time) {
	if list.Version <= p.Evacuations() {
		return
	}
	table := evacuation.NewTable(list, requested)
	p.evacuations.Store(table)
	p.wakeWaiting()
	names := make([]string, 0, len(list.Evacuations))
	for _, name := range table.Names() {
		names = append(names, string(name))
	}
	p.cfg.Log.Info().Uint64("epoch", uint64(list.Version)).Str("evacuated", strings.Join(names, " ")).Msg("evacuationsApplied")
}

// useOf returns what a server may be used for in view of the evacuations.
func (p *Proxy) useOf(s fleet.Server) evacuation.Use {
	return p.evacuations.Load().Use(s.DataCentre, p.cfg.Now())
}

// withdrawn reports whether nothing may be sent to a server, because its data centre is evacuated.
func (p *Proxy) withdrawn(s fleet.Server) bool { return p.useOf(s) == evacuation.Withdrawn }

const evacuatedDetail = "the data centre of the database is evacuated"

// endEvacuatedTransaction ends an open transaction at a server to which nothing may be sent any more. It reports false if there is none.
func (s *session) endEvacuatedTransaction() (statement.Answer, bool) {
	tx := s.tx
	if tx.pool == nil || !s.proxy.withdrawn(tx.pool.server) {
		return statement.Answer{}, false
	}
	s.dropTransactionConn()
	return tx.fail(statement.FailureAnswer(statement.Aborted, evacuatedDetail, statement.Failed)), true
}

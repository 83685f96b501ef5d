package database

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"lentilwind.dev/bench/internal/statement"
)

// prepared is a prepared statement of the extended query protocol; st is nil for an empty query.
type prepared struct {
	st   *statement.Statement
	oids []uint32
}

// portal is a prepared statement with its bound arguments.
type portal struct {
	prepared  *prepared
	arguments []statement.Value
	formats   []int16
	// result holds the rows that remain after an Execute with a row limit.
	result *result
}

func (s *session) handleExtended(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Parse:
		return s.parse(m)
	case *pgproto3.Bind:
		return s.bind(m)
	case *pgproto3.Describe:
		return s.describe(m)
	case *pgproto3.Execute:
		return s.executePortal(m)
	case *pgproto3.Close:
		return s.closeObject(m)
	}
	return &statement.Error{Code: "08P01", Message: fmt.Sprintf("unexpected message %T", message)}
}

func (s *session) parse(m *pgproto3.Parse) error {
	if m.Name != "" && s.prepared[m.Name] != nil {
		return &statement.Error{Code: "42P05", Message: fmt.Sprintf("prepared statement %q already exists", m.Name)}
	}
	statements, err := statement.Parse(m.Query)
	if err == nil && len(statements) > 1 {
		err = &statement.Error{Code: "42601", Message: "cannot insert multiple commands into a prepared statement"}
	}
	if err != nil {
		s.observeRefusal(m.Query, nil, err)
		return err
	}
	p := &prepared{}
	if len(statements) == 1 {
		p.st = statements[0]
		if err := p.resolveParameterTypes(m.ParameterOIDs); err != nil {
			return err
		}
	}
	s.prepared[m.Name] = p
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

// resolveParameterTypes checks the parameter types that the client declares and fills in the others.
func (p *prepared) resolveParameterTypes(oids []uint32) error {
	for i, t := range p.st.ParameterTypes {
		oid := typeOID(t)
		if i < len(oids) {
			if !acceptsOID(t, oids[i]) {
				message := fmt.Sprintf("parameter $%d is of type %s and not of object id %d", i+1, t, oids[i])
				return &statement.Error{Code: "42804", Message: message}
			}
			if oids[i] != 0 && oids[i] != oidUnknown {
				oid = oids[i]
			}
		}
		p.oids = append(p.oids, oid)
	}
	return nil
}

func (s *session) findPrepared(name string) (*prepared, error) {
	if p := s.prepared[name]; p != nil {
		return p, nil
	}
	return nil, &statement.Error{Code: "26000", Message: fmt.Sprintf("prepared statement %q does not exist", name)}
}

func (s *session) findPortal(name string) (*portal, error) {
	if p := s.portals[name]; p != nil {
		return p, nil
	}
	return nil, &statement.Error{Code: "34000", Message: fmt.Sprintf("portal %q does not exist", name)}
}

func (s *session) bind(m *pgproto3.Bind) error {
	p, err := s.findPrepared(m.PreparedStatement)
	if err != nil {
		return err
	}
	bound := &portal{prepared: p, formats: append([]int16(nil), m.ResultFormatCodes...)}
	if len(m.Parameters) != len(p.oids) {
		message := fmt.Sprintf("bind message supplies %d parameters, but the statement requires %d", len(m.Parameters), len(p.oids))
		return &statement.Error{Code: "08P01", Message: message}
	}
	for i, data := range m.Parameters {
		v, err := decodeValue(data, p.st.ParameterTypes[i], formatCode(m.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		bound.arguments = append(bound.arguments, v)
	}
	s.portals[m.DestinationPortal] = bound
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		p, err := s.findPrepared(m.Name)
		if err != nil {
			return err
		}
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.oids})
		s.describeRows(p, nil)
		return nil
	}
	p, err := s.findPortal(m.Name)
	if err != nil {
		return err
	}
	s.describeRows(p.prepared, p.formats)
	return nil
}

func (s *session) describeRows(p *prepared, formats []int16) {
	if p.st == nil || !p.st.ReturnsRows() {
		s.backend.Send(&pgproto3.NoData{})
		return
	}
	s.backend.Send(rowDescription(p.st.ResultColumns, formats))
}

func (s *session) executePortal(m *pgproto3.Execute) error {
	p, err := s.findPortal(m.Portal)
	if err != nil {
		return err
	}
	if p.prepared.st == nil {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if p.result == nil {
		if p.result, err = s.execute(p.prepared.st, p.arguments); err != nil {
			return err
		}
	}
	rows := p.result.rows
	if m.MaxRows > 0 && int(m.MaxRows) < len(rows) {
		rows = rows[:m.MaxRows]
	}
	for _, row := range rows {
		s.backend.Send(dataRow(row, p.formats))
	}
	p.result.rows = p.result.rows[len(rows):]
	if len(p.result.rows) > 0 {
		s.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(p.result.tag)})
	return nil
}

func (s *session) closeObject(m *pgproto3.Close) error {
	if m.ObjectType == 'S' {
		delete(s.prepared, m.Name)
	} else {
		delete(s.portals, m.Name)
	}
	s.backend.Send(&pgproto3.CloseComplete{})
	return nil
}

package load

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/jackc/pgx/v5"

	"lentilwind.dev/bench/database"
	"lentilwind.dev/bench/history"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/jsonc"
)

// runProbes alternately sends the same read through an entry and directly to a database, to measure the latency that the entry
// adds.
func (g *Generator) runProbes(ctx context.Context, start time.Time) {
	class := g.readClass()
	service := &g.cfg.Services[0]
	if class == nil || len(service.Databases) == 0 {
		return
	}
	var conns [2]*pgx.Conn
	defer func() {
		for _, conn := range conns {
			if conn != nil {
				_ = conn.Close(context.Background())
			}
		}
	}()
	for n := 0; time.Since(start) < g.cfg.Duration; n++ {
		if !sleepUntil(ctx, time.Now().Add(g.cfg.ProbePeriod)) {
			return
		}
		key := keyName(n / len(conns) % g.cfg.KeyCount)
		r := history.Request{
			ID: fmt.Sprintf("%s-%d", g.cfg.ProbeWorkspace, n), Workspace: g.cfg.ProbeWorkspace,
			Service: service.Name, Session: string(g.cfg.ProbeWorkspace),
			Path: []history.Path{history.PathEntry, history.PathDirect}[n%len(conns)], Probe: true, Route: class.Route, Key: key,
			MaxStaleness: jsonc.Duration(class.MaxStaleness), Slot: SlotOf(key, service.Slots),
		}
		g.sendProbe(ctx, service, &conns[n%len(conns)], &r)
		g.record(r)
	}
}

// readClass returns the first class of reads in the mix, or nil if there is none.
func (g *Generator) readClass() *RequestClass {
	for i := range g.cfg.Mix {
		if g.cfg.Mix[i].Kind == KindRead {
			return &g.cfg.Mix[i]
		}
	}
	return nil
}

func (g *Generator) sendProbe(ctx context.Context, service *Service, conn **pgx.Conn, r *history.Request) {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	err := g.connectProbe(ctx, service, conn, r)
	if err != nil && *conn != nil {
		_ = (*conn).Close(ctx)
		*conn = nil
	}
	r.Scheduled = time.Now()
	r.Invoked = r.Scheduled
	if err != nil {
		r.Completed = time.Now()
		r.Outcome, r.Code, r.Message = classifyConnect(err)
		return
	}
	err = execute(ctx, *conn, r, KindRead)
	r.Completed = time.Now()
	r.Outcome, r.Code, r.Message = classify(err)
	if (*conn).IsClosed() {
		*conn = nil
	}
}

func (g *Generator) connectProbe(ctx context.Context, service *Service, conn **pgx.Conn, r *history.Request) error {
	var err error
	if *conn == nil && r.Path == history.PathEntry {
		*conn, err = g.dialEntry(ctx, g.cfg.Entries[0], service, credentials{g.cfg.ProbeWorkspace, g.apiKey(g.cfg.ProbeWorkspace), ""})
	}
	if *conn == nil && r.Path == history.PathDirect {
		*conn, err = g.dialAnyDatabase(ctx, service)
	}
	if err != nil {
		return err
	}
	if r.Path == history.PathEntry {
		r.Entry = g.cfg.Entries[0].Name
		return nil
	}
	return SetReaderScope(ctx, *conn, g.cfg.ProbeWorkspace, r.Slot)
}

// dialAnyDatabase connects to the first database that accepts a connection.
func (g *Generator) dialAnyDatabase(ctx context.Context, service *Service) (*pgx.Conn, error) {
	var errs error
	for _, address := range service.Databases {
		conn, err := DialReader(ctx, g.cfg.LocalAddress, address, service.Name)
		if err == nil {
			return conn, nil
		}
		errs = errors.Join(errs, err)
	}
	return nil, errs
}

// DialReader connects to a database as the reader user, whose connections do not count towards the connection limit.
func DialReader(ctx context.Context, local netip.Addr, address string, service group.Service) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s@%s/%s?sslmode=disable", database.UserReader, address, service))
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	if local.IsValid() {
		cfg.DialFunc = newDialer(local).DialContext
	}
	return pgx.ConnectConfig(ctx, cfg)
}

func newDialer(local netip.Addr) *net.Dialer {
	return &net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))}
}

// SetReaderScope selects the workspace and the slot that a reader connection reads.
func SetReaderScope(ctx context.Context, conn *pgx.Conn, workspace inventory.WorkspaceName, slot group.Slot) error {
	query := fmt.Sprintf("SET lentilwind.workspace = '%s'; SET lentilwind.slot = '%d'; SET lentilwind.term = '0'; "+
		"SET lentilwind.access = 'read'", workspace, slot)
	_, err := conn.PgConn().Exec(ctx, query).ReadAll()
	return err
}

// ErrNoPrimary means that no database reports being the primary of a slot.
var ErrNoPrimary = errors.New("load: a slot has no primary")

// ReadFinalJournals reads the journals of the workspaces from the primary of each slot of a service.
func ReadFinalJournals(ctx context.Context, service Service, workspaces []inventory.WorkspaceName) ([]history.FinalJournal, error) {
	var journals []history.FinalJournal
	for slot := range service.Slots {
		address, err := FindPrimary(ctx, service, group.Slot(slot))
		if err != nil {
			return nil, err
		}
		conn, err := DialReader(ctx, netip.Addr{}, address, service.Name)
		if err != nil {
			return nil, fmt.Errorf("load: %w", err)
		}
		for _, workspace := range workspaces {
			rows, err := readJournal(ctx, conn, workspace, group.Slot(slot))
			if err != nil {
				return nil, errors.Join(fmt.Errorf("load: %w", err), conn.Close(ctx))
			}
			journals = append(journals, history.FinalJournal{
				Service: service.Name, Slot: group.Slot(slot), Workspace: workspace, Rows: rows,
			})
		}
		if err := conn.Close(ctx); err != nil {
			return nil, fmt.Errorf("load: %w", err)
		}
	}
	return journals, nil
}

func readJournal(ctx context.Context, conn *pgx.Conn, workspace inventory.WorkspaceName, slot group.Slot) ([]history.Row, error) {
	if err := SetReaderScope(ctx, conn, workspace, slot); err != nil {
		return nil, err
	}
	rows, err := conn.Query(ctx, "SELECT id, key, workspace, value FROM journal")
	if err != nil {
		return nil, err
	}
	return pgx.CollectRows(rows, pgx.RowToStructByPos[history.Row])
}

// FindPrimary returns the address of the database that is the primary of a slot in the highest term. Databases that cannot
// be reached are skipped.
func FindPrimary(ctx context.Context, service Service, slot group.Slot) (string, error) {
	var newestTerm int64
	primary := ""
	for _, address := range service.Databases {
		term, err := primaryTerm(ctx, service, address, slot)
		if err != nil {
			continue
		}
		if term > newestTerm {
			newestTerm, primary = term, address
		}
	}
	if primary == "" {
		return "", fmt.Errorf("%w: %s/%d", ErrNoPrimary, service.Name, slot)
	}
	return primary, nil
}

// primaryTerm returns the term in which a database is the primary of a slot, or 0 if it is not.
func primaryTerm(ctx context.Context, service Service, address string, slot group.Slot) (int64, error) {
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://%s@%s/%s?sslmode=disable", database.UserMonitor, address, service.Name))
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close(ctx) }()
	rows, err := conn.Query(ctx, "SELECT * FROM lentilwind_status()")
	if err != nil {
		return 0, err
	}
	type status struct {
		Slot                                     int64
		Role                                     string
		Term, Fenced, Received, Applied, AgeMsec int64
	}
	statuses, err := pgx.CollectRows(rows, pgx.RowToStructByPos[status])
	if err != nil {
		return 0, err
	}
	for _, st := range statuses {
		if st.Slot == int64(slot) && st.Role == string(group.RolePrimary) {
			return st.Term, nil
		}
	}
	return 0, nil
}

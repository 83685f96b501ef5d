package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"lentilwind.dev/bench/history"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/jsonc"
)

// tokenParameter is the startup parameter and parameter status that carry the session token.
const tokenParameter = "lentilwind.session"

// session is one simulated client, which sends one request at a time.
type session struct {
	generator *Generator
	workspace *Workspace
	service   *Service
	name      string
	rng       *rand.Rand
	queue     chan time.Time

	conn         *pgx.Conn
	entry        Entry
	token        string
	sequence     uint64
	lastKey      string
	requestCount int
}

// queueLength is the number of arrivals that can wait for a session; when the queue is full, further arrivals of the
// workspace are delayed.
const queueLength = 1 << 14

func newSession(g *Generator, w *Workspace, n int) *session {
	return &session{
		generator: g, workspace: w, service: &g.cfg.Services[n%len(g.cfg.Services)],
		name: fmt.Sprintf("%s-%d", w.Name, n), rng: newRand(g.cfg.Seed, string(w.Name), n),
		queue: make(chan time.Time, queueLength),
	}
}

// run sends a request for each queued arrival until the queue is closed and empty.
func (s *session) run(ctx context.Context) {
	defer s.disconnect()
	for scheduled := range s.queue {
		r := s.nextRequest(scheduled)
		s.send(ctx, &r)
		s.generator.record(r)
	}
}

// nextRequest returns the next request, with a random class and row key.
func (s *session) nextRequest(scheduled time.Time) history.Request {
	class := s.chooseClass()
	s.requestCount++
	key := keyName(s.rng.IntN(s.generator.cfg.KeyCount))
	if useLastKey := s.rng.Float64() < class.OwnKeyShare; useLastKey && s.lastKey != "" {
		key = s.lastKey
	}
	return history.Request{
		ID: fmt.Sprintf("%s-%d", s.name, s.requestCount), Workspace: s.workspace.Name, Service: s.service.Name, Session: s.name,
		Path: history.PathEntry, Route: class.Route, Write: class.Kind != KindRead, Key: key,
		MaxStaleness: jsonc.Duration(class.MaxStaleness), Slot: SlotOf(key, s.service.Slots), Scheduled: scheduled,
		Sequence: s.sequence,
	}
}

func (s *session) chooseClass() *RequestClass {
	if class := s.generator.readClass(); s.workspace.ReadOnly && class != nil {
		return class
	}
	draw := s.rng.Float64()
	for i := range s.generator.cfg.Mix {
		class := &s.generator.cfg.Mix[i]
		if draw < class.Share {
			return class
		}
		draw -= class.Share
	}
	return &s.generator.cfg.Mix[0]
}

// send sends one request and records its outcome in r.
func (s *session) send(ctx context.Context, r *history.Request) {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	if s.rng.Float64() < s.generator.cfg.EntrySwitchProbability {
		s.leaveEntry()
	}
	r.Invoked = time.Now()
	if err := s.connect(ctx); err != nil {
		r.Completed = time.Now()
		r.Entry = s.entry.Name
		r.Outcome, r.Code, r.Message = classifyConnect(err)
		return
	}
	r.Entry = s.entry.Name
	// The time spent connecting does not count as part of the invocation.
	r.Invoked = time.Now()
	err := execute(ctx, s.conn, r, s.kind(r))
	r.Completed = time.Now()
	r.Outcome, r.Code, r.Message = classify(err)
	s.updateState(r)
}

// kind returns the kind of the class with the route of the request.
func (s *session) kind(r *history.Request) RequestKind {
	for _, class := range s.generator.cfg.Mix {
		if class.Route == r.Route {
			return class.Kind
		}
	}
	return KindRead
}

// updateState stores the session token and the last written key after a request. It closes the connection if the request left
// it unusable.
func (s *session) updateState(r *history.Request) {
	if s.conn.IsClosed() || s.conn.PgConn().TxStatus() != 'I' {
		s.disconnect()
		return
	}
	if token := s.conn.PgConn().ParameterStatus(tokenParameter); token != "" {
		s.token = token
	}
	if r.Write && r.Outcome == history.OutcomeOK {
		s.sequence++
		s.lastKey = r.Key
	}
}

// leaveEntry closes the connection, so that the next request connects to a random entry, and may drop the session token.
func (s *session) leaveEntry() {
	s.disconnect()
	if s.rng.Float64() < s.generator.cfg.TokenLossProbability {
		s.token = ""
	}
}

func (s *session) disconnect() {
	if s.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.conn.Close(ctx)
	s.conn = nil
}

const (
	connectTimeout = 2 * time.Second
	redialDelay    = 20 * time.Millisecond
)

// connect connects to a random entry and retries with others while the entry cannot be reached.
func (s *session) connect(ctx context.Context) error {
	if s.conn != nil {
		return nil
	}
	for {
		s.entry = s.generator.cfg.Entries[s.rng.IntN(len(s.generator.cfg.Entries))]
		conn, err := s.generator.dialEntry(ctx, s.entry, s.service,
			credentials{s.workspace.Name, s.generator.apiKey(s.workspace.Name), s.token})
		if err == nil {
			s.conn = conn
			return nil
		}
		if outcome, _, _ := classifyConnect(err); outcome != history.OutcomeUnreached || ctx.Err() != nil {
			return err
		}
		if !sleepUntil(ctx, time.Now().Add(redialDelay)) {
			return err
		}
	}
}

// credentials are sent in the startup of a connection to an entry.
type credentials struct {
	workspace inventory.WorkspaceName
	key       string
	token     string
}

func (g *Generator) dialEntry(ctx context.Context, entry Entry, service *Service, c credentials) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s/%s?sslmode=disable", entry.Address, service.Name))
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	cfg.User, cfg.Password = string(c.workspace), c.key
	cfg.ConnectTimeout = connectTimeout
	if c.token != "" {
		cfg.RuntimeParams[tokenParameter] = c.token
	}
	if g.cfg.LocalAddress.IsValid() {
		cfg.DialFunc = newDialer(g.cfg.LocalAddress).DialContext
	}
	return pgx.ConnectConfig(ctx, cfg)
}

// execute executes the statements of a request.
func execute(ctx context.Context, conn *pgx.Conn, r *history.Request, kind RequestKind) error {
	comment := fmt.Sprintf("/*route='%s',key='%s'*/ ", r.Route, r.Key)
	switch kind {
	case KindInsert:
		_, err := conn.Exec(ctx, comment+insertJournal, r.ID, r.Key, int64(1))
		return err
	case KindReserve:
		return reserve(ctx, conn, r, comment)
	}
	rows, err := conn.Query(ctx, comment+selectJournal, r.Key)
	if err != nil {
		return err
	}
	r.Rows, err = pgx.CollectRows(rows, pgx.RowToStructByPos[history.Row])
	return err
}

const (
	selectJournal = "SELECT id, key, workspace, value FROM journal WHERE key = $1"
	insertJournal = "INSERT INTO journal (id, key, value) VALUES ($1, $2, $3)"
	reserveStock  = "UPDATE stock SET value = value - $1 WHERE key = $2 AND value >= $1"
	refillStock   = "INSERT INTO stock (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = stock.value + excluded.value"
	refillAmount  = 1000
)

// reserve takes one unit of stock, refilling it if it is empty, and inserts a journal row, in one transaction.
func reserve(ctx context.Context, conn *pgx.Conn, r *history.Request, comment string) error {
	tx, err := conn.BeginTx(ctx, pgx.TxOptions{BeginQuery: comment + "BEGIN"})
	if err != nil {
		return err
	}
	if err := reserveInTx(ctx, tx, r); err != nil {
		rollbackCtx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		_ = tx.Rollback(rollbackCtx)
		return err
	}
	return tx.Commit(ctx)
}

func reserveInTx(ctx context.Context, tx pgx.Tx, r *history.Request) error {
	var tag pgconn.CommandTag
	tag, err := tx.Exec(ctx, reserveStock, int64(1), r.Key)
	if err != nil {
		return err
	}
	if tag.RowsAffected() == 0 {
		if _, err := tx.Exec(ctx, refillStock, r.Key, int64(refillAmount)); err != nil {
			return err
		}
	}
	_, err = tx.Exec(ctx, insertJournal, r.ID, r.Key, int64(1))
	return err
}

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

// tokenParameter carries the session's token in both directions.
const tokenParameter = "lentilwind.session"

// session is one caller; its requests follow one another.
type session struct {
	load      *Generator
	workspace *Workspace
	service   *Service
	name      string
	rng       *rand.Rand
	queue     chan time.Time

	conn     *pgx.Conn
	entry    Entry
	token    string
	sequence uint64
	lastKey  string
	count    int
}

const queueLength = 1 << 14

func newSession(l *Generator, w *Workspace, n int) *session {
	return &session{
		load: l, workspace: w, service: &l.cfg.Services[n%len(l.cfg.Services)],
		name: fmt.Sprintf("%s-%d", w.Name, n), rng: random(l.cfg.Seed, string(w.Name), n),
		queue: make(chan time.Time, queueLength),
	}
}

// run serves arrivals until the queue is closed and empty.
func (s *session) run(ctx context.Context) {
	defer s.disconnect()
	for scheduled := range s.queue {
		r := s.next(scheduled)
		s.do(ctx, &r)
		s.load.record(r)
	}
}

// next chooses the next request.
func (s *session) next(scheduled time.Time) history.Request {
	step := s.chooseStep()
	s.count++
	key := keyName(s.rng.IntN(s.load.cfg.KeyCount))
	if own := s.rng.Float64() < step.OwnKeyShare; own && s.lastKey != "" {
		key = s.lastKey
	}
	return history.Request{
		ID: fmt.Sprintf("%s-%d", s.name, s.count), Workspace: s.workspace.Name, Service: s.service.Name, Session: s.name,
		Path: history.PathEntry, Route: step.Route, Write: step.Kind != KindRead, Key: key,
		MaxStaleness: jsonc.Duration(step.MaxStaleness), Slot: SlotOf(key, s.service.Slots), Scheduled: scheduled,
		Sequence: s.sequence,
	}
}

func (s *session) chooseStep() *RequestClass {
	if step := s.load.readStep(); s.workspace.ReadOnly && step != nil {
		return step
	}
	chance := s.rng.Float64()
	for i := range s.load.cfg.Mix {
		step := &s.load.cfg.Mix[i]
		if chance < step.Share {
			return step
		}
		chance -= step.Share
	}
	return &s.load.cfg.Mix[0]
}

// do runs one request and fills in how it ended.
func (s *session) do(ctx context.Context, r *history.Request) {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	if s.rng.Float64() < s.load.cfg.EntrySwitchProbability {
		s.roam()
	}
	r.Invoked = time.Now()
	if err := s.connect(ctx); err != nil {
		r.Completed = time.Now()
		r.Entry = s.entry.Name
		r.Outcome, r.Code, r.Message = classifyConnect(err)
		return
	}
	r.Entry = s.entry.Name
	r.Invoked = time.Now()
	err := perform(ctx, s.conn, r, s.kind(r))
	r.Completed = time.Now()
	r.Outcome, r.Code, r.Message = classify(err)
	s.remember(r)
}

func (s *session) kind(r *history.Request) RequestKind {
	for _, step := range s.load.cfg.Mix {
		if step.Route == r.Route {
			return step.Kind
		}
	}
	return KindRead
}

func (s *session) remember(r *history.Request) {
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

// roam leaves the entry; the token goes along or is forgotten.
func (s *session) roam() {
	s.disconnect()
	if s.rng.Float64() < s.load.cfg.TokenLossProbability {
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
	redialPause    = 20 * time.Millisecond
)

// connect opens a connection at some entry, and tries others while they cannot be reached.
func (s *session) connect(ctx context.Context) error {
	if s.conn != nil {
		return nil
	}
	for {
		s.entry = s.load.cfg.Entries[s.rng.IntN(len(s.load.cfg.Entries))]
		conn, err := s.load.dialEntry(ctx, s.entry, s.service, credentials{s.workspace.Name, s.load.key(s.workspace.Name), s.token})
		if err == nil {
			s.conn = conn
			return nil
		}
		if outcome, _, _ := classifyConnect(err); outcome != history.OutcomeUnreached || ctx.Err() != nil {
			return err
		}
		if !sleepUntil(ctx, time.Now().Add(redialPause)) {
			return err
		}
	}
}

// credentials are what a caller shows at startup.
type credentials struct {
	workspace inventory.WorkspaceName
	key       string
	token     string
}

func (l *Generator) dialEntry(ctx context.Context, e Entry, service *Service, c credentials) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s/%s?sslmode=disable", e.Address, service.Name))
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	cfg.User, cfg.Password = string(c.workspace), c.key
	cfg.ConnectTimeout = connectTimeout
	if c.token != "" {
		cfg.RuntimeParams[tokenParameter] = c.token
	}
	if l.cfg.LocalAddress.IsValid() {
		cfg.DialFunc = dialerFrom(l.cfg.LocalAddress).DialContext
	}
	return pgx.ConnectConfig(ctx, cfg)
}

// perform sends the statements of a request.
func perform(ctx context.Context, conn *pgx.Conn, r *history.Request, kind RequestKind) error {
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
	refill        = 1000
)

// reserve takes a crate, refilling the stock when it is empty, and records a deposit.
func reserve(ctx context.Context, conn *pgx.Conn, r *history.Request, comment string) error {
	tx, err := conn.BeginTx(ctx, pgx.TxOptions{BeginQuery: comment + "BEGIN"})
	if err != nil {
		return err
	}
	if err := reserveIn(ctx, tx, r); err != nil {
		rollback, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		_ = tx.Rollback(rollback)
		return err
	}
	return tx.Commit(ctx)
}

func reserveIn(ctx context.Context, tx pgx.Tx, r *history.Request) error {
	var tag pgconn.CommandTag
	tag, err := tx.Exec(ctx, reserveStock, int64(1), r.Key)
	if err != nil {
		return err
	}
	if tag.RowsAffected() == 0 {
		if _, err := tx.Exec(ctx, refillStock, r.Key, int64(refill)); err != nil {
			return err
		}
	}
	_, err = tx.Exec(ctx, insertJournal, r.ID, r.Key, int64(1))
	return err
}

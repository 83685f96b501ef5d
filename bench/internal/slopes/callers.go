package slopes

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"strconv"

	"github.com/jackc/pgx/v5/pgconn"
	"golang.org/x/sync/errgroup"

	"lentilwind.dev/bench/fleet"
	"lentilwind.dev/lentilwind/inventory"
)

const (
	callerWorkspace    inventory.WorkspaceName = "w1"
	unlimitedRate                              = 1e6
	maxConcurrentDials                         = 32
	activeCallers                              = 8
	warmUpStatements                           = 4000
	benchmarkStatement                         = "/*key='k'*/ SELECT id, key, workspace, value FROM journal WHERE key = 'k'"
)

// MeasureCallers measures the memory of an entry for numbers of idle callers and its processor time for numbers of
// statements.
func MeasureCallers(ctx context.Context, options Options, idle, statements []int) (list []Series, err error) {
	l := newLayout(1, 2)
	l.Workspaces[0].Rate, l.Workspaces[0].Burst = unlimitedRate, unlimitedRate
	f, err := fleet.Start(ctx, l, fleet.Options{BinDir: options.BinDir, Dir: filepath.Join(options.OutDir, "callers")})
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	memory := Series{Measurement: "entry, idle callers in plain text", Quantity: "memory, MB", SizeUnit: "caller"}
	processor := Series{Measurement: "entry, statements at the pool home", Quantity: "processor, ms", SizeUnit: "statement"}
	var conns []*pgconn.PgConn
	defer func() { closeConnections(conns) }()
	for _, n := range idle {
		opened, err := openConnections(ctx, f, n-len(conns))
		conns = append(conns, opened...)
		if err != nil {
			return nil, err
		}
		usage, err := readUsage(f.Entries[0].PID())
		if err != nil {
			return nil, err
		}
		memory.addPoint(n, usage.memory)
	}
	if err := executeStatements(ctx, conns[:activeCallers], warmUpStatements); err != nil {
		return nil, err
	}
	for _, n := range statements {
		before, err := readUsage(f.Entries[0].PID())
		if err != nil {
			return nil, err
		}
		if err := executeStatements(ctx, conns[:activeCallers], n); err != nil {
			return nil, err
		}
		after, err := readUsage(f.Entries[0].PID())
		if err != nil {
			return nil, err
		}
		processor.addPoint(n, float64((after.processor - before.processor).Milliseconds()))
	}
	return fitAll(memory, processor), nil
}

func closeConnections(conns []*pgconn.PgConn) {
	for _, c := range conns {
		if c != nil {
			_ = c.Conn().Close()
		}
	}
}

// openConnections opens n connections to the entry, authenticated with the key of callerWorkspace.
func openConnections(ctx context.Context, f *fleet.Fleet, n int) ([]*pgconn.PgConn, error) {
	cfg, err := pgconn.ParseConfig(fmt.Sprintf("postgres://%s/service-1?sslmode=disable", f.Entries[0].Callers))
	if err != nil {
		return nil, fmt.Errorf("slopes: %w", err)
	}
	cfg.User, cfg.Password = string(callerWorkspace), f.Keys[callerWorkspace].Key
	conns := make([]*pgconn.PgConn, n)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentDials)
	for i := range conns {
		g.Go(func() error {
			c, err := pgconn.ConnectConfig(ctx, cfg)
			conns[i] = c
			return err
		})
	}
	if err := g.Wait(); err != nil {
		closeConnections(conns)
		return nil, fmt.Errorf("slopes: connect %s callers: %w", strconv.Itoa(n), err)
	}
	return conns, nil
}

// executeStatements runs the statements in equal parts on the connections, concurrently.
func executeStatements(ctx context.Context, conns []*pgconn.PgConn, statements int) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, c := range conns {
		g.Go(func() error {
			for range statements / len(conns) {
				if _, err := c.Exec(ctx, benchmarkStatement).ReadAll(); err != nil {
					return fmt.Errorf("slopes: %w", err)
				}
			}
			return nil
		})
	}
	return g.Wait()
}

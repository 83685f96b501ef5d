package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// sentStatements maps the id of each statement that a client sent to a sentStatement.
var sentStatements sync.Map

// sentStatement tells who sent a statement and when.
type sentStatement struct {
	client *client
	at     time.Time
}

// client is one session of a client.
type client struct {
	rec          *recorder
	name, tenant string
	conn         net.Conn
	reader       *bufio.Reader
}

// answer is the answer to one statement.
type answer struct {
	id string
	// code is empty for a success.
	code, detail string
	rows         []string
	state        string
	sentAt, at   time.Time
	err          error
}

func (a answer) ok() bool { return a.err == nil && a.code == "" }

func (a answer) String() string {
	switch {
	case a.err != nil:
		return "no answer: " + a.err.Error()
	case a.code != "":
		return "ERROR " + a.code + " " + a.detail + ", state " + a.state
	default:
		return fmt.Sprintf("COMPLETE %v, state %s", a.rows, a.state)
	}
}

// answerTimeout is how long a client waits for an answer.
const answerTimeout = 4 * time.Second

// connect opens a session at the front address of a node.
func connect(rec *recorder, name, tenant, address, database, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{rec: rec, name: name, tenant: tenant, conn: conn, reader: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "START %s %s\r\n", database, key); err != nil {
		return nil, err
	}
	line, err := c.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		_ = conn.Close()
		rec.printf("client %s: START %s at %s: %q, %v", name, database, address, line, err)
		return nil, fmt.Errorf("START answered with %q, %w", line, err)
	}
	rec.printf("client %s: session with database %s at %s is open", name, database, address)
	return c, nil
}

// query sends a statement and waits for its answer.
func (c *client) query(text string) answer {
	a := answer{id: fmt.Sprintf("%016x", rand.Uint64()), sentAt: time.Now()}
	sentStatements.Store(a.id, sentStatement{c, a.sentAt})
	c.rec.printf("client %s: sent %s %q", c.name, a.id, text)
	_ = c.conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, a.err = fmt.Fprintf(c.conn, "QUERY %s %s\r\n", a.id, text); a.err == nil {
		a.err = c.receive(&a)
	}
	a.at = time.Now()
	c.rec.printf("client %s: answer to %s %q: %v", c.name, a.id, text, a)
	return a
}

func (c *client) receive(a *answer) error {
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			return err
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "ERROR":
			a.code, a.detail, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return nil
		}
	}
}

func (c *client) close() { _ = c.conn.Close() }

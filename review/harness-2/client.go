package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// client is one session of a caller.
type client struct {
	conn net.Conn
	r    *bufio.Reader
}

// answer is the answer to one statement; code is empty after a success.
type answer struct {
	code, detail, state string
	rows                int
}

// startFailed begins the error of a session that is refused; the code and the detail follow.
const startFailed = "ERROR "

const answerTimeout = 5 * time.Second

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// dial opens a session at an entry.
func (f *fleet) dial(p *process, database, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp", f.address(p, f.ports.callers), time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, r: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err = fmt.Fprintf(conn, "START %s %s\r\n", database, key); err == nil {
		var line string
		if line, err = c.r.ReadString('\n'); err == nil && !strings.HasPrefix(line, "READY I") {
			err = errors.New(startFailed + strings.TrimPrefix(strings.TrimSpace(line), startFailed))
		}
	}
	if err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

// query sends one statement and reads its answer. The code is "lost" if the connection ends before.
func (c *client) query(id, text string) answer {
	_ = c.conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return answer{code: "lost", detail: err.Error()}
	}
	var a answer
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			return answer{code: "lost", detail: err.Error()}
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "ROW":
			a.rows++
		case "ERROR":
			a.code, a.detail, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a
		}
	}
}

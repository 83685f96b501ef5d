package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// client is one session.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// answer is the complete answer to one statement.
type answer struct {
	code  string
	state string
}

const done = "COMPLETE"

func dialClient(ip, host string) (*client, error) { return dialWithKey(ip, host, clientKey) }

func dialWithKey(ip, host, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address(ip, callerPort), time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, reader: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "START %s %s\r\n", host, key)
	line, err := c.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		conn.Close()
		return nil, fmt.Errorf("START: %q %v", line, err)
	}
	return c, nil
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// query sends one statement and waits for its answer.
func (c *client) query(id, text string, timeout time.Duration) (answer, error) {
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return answer{}, err
	}
	var a answer
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			return a, err
		}
		fields := strings.Fields(line)
		switch fields[0] {
		case "COMPLETE":
			a.code = done
		case "ERROR":
			a.code = fields[1]
		case "READY":
			a.state = fields[1]
			return a, nil
		}
	}
}

func (c *client) close() { c.conn.Close() }

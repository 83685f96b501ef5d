package caller

import (
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"lentilwind.dev/entry/internal/directory"
	"lentilwind.dev/entry/internal/outcome"
	"lentilwind.dev/entry/internal/relay"
	"lentilwind.dev/instance/events"
	"lentilwind.dev/lentilwind/group"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/session"
)

// Limits of a startup.
const (
	maxStartupBytes  = 10_000
	maxPasswordBytes = 1_000
	maxNegotiations  = 3
	lengthBytes      = 4
)

// Parameters of a startup.
const (
	userParameter     = "user"
	databaseParameter = "database"
	routeParameter    = "lentilwind.route"
)

// Codes in the place of a protocol version.
const (
	sslRequestCode    = 80877103
	gssEncRequestCode = 80877104
	cancelRequestCode = 80877102
)

// serverVersion is what drivers are told; they choose their queries by it.
const serverVersion = "17.0 (lentilwind)"

// start negotiates the connection and checks the key; false means that the connection is over.
func (c *caller) start() bool {
	_ = c.conn.SetDeadline(time.Now().Add(c.server.cfg.Limits.StartupTimeout))
	packet, err := c.negotiate()
	if err != nil || packet == nil {
		return false
	}
	var startup pgproto3.StartupMessage
	if err := startup.Decode(packet); err != nil {
		c.fatal(&outcome.Failure{SQLState: outcome.ProtocolViolation, Message: "malformed startup message"})
		return false
	}
	if failure := c.authenticate(startup.Parameters); failure != nil {
		c.fatal(failure)
		return false
	}
	c.server.register(c)
	if err := c.welcome(startup); err != nil {
		c.server.forget(c)
		return false
	}
	_ = c.conn.SetDeadline(time.Time{})
	return true
}

// negotiate answers requests for encryption and cancel requests; nil without an error means that nothing follows.
func (c *caller) negotiate() ([]byte, error) {
	for range maxNegotiations {
		packet, err := c.readPacket()
		if err != nil {
			return nil, err
		}
		switch binary.BigEndian.Uint32(packet) {
		case sslRequestCode:
			err = c.encrypt()
		case gssEncRequestCode:
			_, err = c.conn.Write([]byte{'N'})
		case cancelRequestCode:
			c.cancelOther(packet)
			return nil, nil
		default:
			return packet, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, errors.New("caller: too many requests for encryption")
}

// readPacket reads one startup packet without its length.
func (c *caller) readPacket() ([]byte, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(c.r, length[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size < 2*lengthBytes || size > maxStartupBytes {
		return nil, fmt.Errorf("caller: startup packet of %d bytes", size)
	}
	packet := make([]byte, size-lengthBytes)
	_, err := io.ReadFull(c.r, packet)
	return packet, err
}

func (c *caller) encrypt() error {
	if c.server.cfg.TLS == nil || c.encrypted {
		_, err := c.conn.Write([]byte{'N'})
		return err
	}
	if c.r.Buffered() > 0 {
		return errors.New("caller: plain text behind a request for encryption")
	}
	if _, err := c.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	conn := tls.Server(c.conn, c.server.cfg.TLS)
	if err := conn.Handshake(); err != nil {
		return fmt.Errorf("caller: %w", err)
	}
	c.conn, c.encrypted = conn, true
	c.r.Reset(conn)
	return nil
}

func (c *caller) authenticate(parameters map[string]string) *outcome.Failure {
	c.workspace = inventory.WorkspaceName(parameters[userParameter])
	c.service = group.Service(parameters[databaseParameter])
	c.route = inventory.RouteName(parameters[routeParameter])
	if c.service == "" {
		c.service = group.Service(c.workspace)
	}
	if !c.server.configured(c.connected.Add(c.server.cfg.Limits.StartupTimeout)) {
		return &outcome.Failure{
			SQLState: outcome.CannotConnectNow, Message: "the entry has no configuration yet, not run", Hint: "Connect again; the balancer may choose another entry.",
		}
	}
	if failure := c.checkKey(); failure != nil {
		return failure
	}
	snapshot := c.server.cfg.Directory.Snapshot()
	if snapshot.Service(c.service) == nil {
		return &outcome.Failure{SQLState: outcome.UnknownDatabase, Message: "unknown service", Hint: "Name a service of the inventory as the database."}
	}
	if _, found := snapshot.Route(c.service, c.route); !found {
		return &outcome.Failure{SQLState: outcome.InvalidParameter, Message: "unknown route in the startup parameter " + routeParameter}
	}
	return c.resume(parameters[session.ParameterName])
}

// configured waits for the first inventory until a deadline; nothing can be judged without one.
func (s *Server) configured(deadline time.Time) bool {
	if s.cfg.Directory.Snapshot().Revision > 0 {
		return true
	}
	subscription := s.cfg.Directory.Subscribe()
	defer subscription.Close()
	clock := time.NewTimer(time.Until(deadline))
	defer clock.Stop()
	for s.cfg.Directory.Snapshot().Revision == 0 {
		select {
		case <-subscription.Changed:
		case <-clock.C:
			return false
		}
	}
	return true
}

// resume takes over what an earlier connection of the session must still see.
func (c *caller) resume(token string) *outcome.Failure {
	c.state = session.State{Workspace: c.workspace, Partial: true}
	if token == "" {
		return nil
	}
	state, err := c.server.cfg.Signer.Verify(token, c.workspace)
	if err != nil {
		return &outcome.Failure{
			SQLState: outcome.InvalidParameter, Message: "the startup parameter " + session.ParameterName + " is not valid for this workspace",
			Hint: "Connect without it, or with the newest value that an entry of this fleet gave for this workspace.",
		}
	}
	c.state = state
	return nil
}

// checkKey asks for the key and compares it with the granted ones.
func (c *caller) checkKey() *outcome.Failure {
	if c.workspace == inventory.PublicWorkspace {
		return nil
	}
	if !c.encrypted && !c.plainTextAllowed() {
		return &outcome.Failure{SQLState: outcome.WrongAuthorization, Message: "keys are only taken over TLS", Hint: "Set sslmode=require."}
	}
	address := c.remote()
	if !c.server.failures.allowed(address, time.Now()) {
		return &outcome.Failure{SQLState: outcome.TooManyConnections, Message: "too many refused keys from this address", Hint: "Wait before you try again."}
	}
	key, err := c.askKey()
	if err != nil {
		return &outcome.Failure{SQLState: outcome.ProtocolViolation, Message: "no key was sent"}
	}
	hash := directory.HashKey(key)
	workspace := c.server.cfg.Directory.Snapshot().Workspace(c.workspace)
	if workspace == nil || len(key) == 0 || !workspace.HasKey(hash) {
		c.server.refusedKey(address, c.workspace)
		return &outcome.Failure{SQLState: outcome.WrongPassword, Message: "the key is not granted to this workspace"}
	}
	c.hash, c.keyed = hash, true
	c.rewriter.Key = key
	return nil
}

func (s *Server) refusedKey(address netip.Addr, workspace inventory.WorkspaceName) {
	s.failures.failed(address, time.Now())
	s.Counters.KeyFailures.Add(1)
	if s.cfg.Directory.Snapshot().Workspace(workspace) == nil {
		// The name of an unknown workspace may be a key in the wrong field.
		workspace = ""
	}
	s.cfg.Events.Record(events.Event{
		Kind: events.KindRequestRefused, Workspace: string(workspace), Detail: "key not granted, from " + address.String(),
	})
}

func (c *caller) plainTextAllowed() bool {
	address := c.remote()
	for _, prefix := range c.server.cfg.PlainTextNetworks {
		if prefix.Contains(address) {
			return true
		}
	}
	return false
}

func (c *caller) remote() netip.Addr {
	tcp, ok := c.conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return tcp.AddrPort().Addr().Unmap()
}

const kindPassword relay.Kind = 'p'

func (c *caller) askKey() ([]byte, error) {
	request, err := (&pgproto3.AuthenticationCleartextPassword{}).Encode(nil)
	if err != nil {
		return nil, err
	}
	if _, err := c.conn.Write(request); err != nil {
		return nil, err
	}
	kind, size, err := relay.ReadHeader(c.r)
	if err != nil {
		return nil, err
	}
	if kind != kindPassword || size > maxPasswordBytes {
		return nil, relay.ErrMalformedMessage
	}
	body, err := relay.AppendBody(nil, c.r, size)
	if err != nil {
		return nil, err
	}
	key, _, err := relay.CutString(body)
	return key, err
}

// welcome tells the caller that it may send requests.
func (c *caller) welcome(startup pgproto3.StartupMessage) error {
	messages := []pgproto3.BackendMessage{&pgproto3.AuthenticationOk{}}
	if startup.ProtocolVersion > pgproto3.ProtocolVersion30 {
		messages = append([]pgproto3.BackendMessage{
			&pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: 0},
		}, messages...)
	}
	for _, parameter := range [...][2]string{
		{"server_version", serverVersion},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{"TimeZone", "UTC"},
		{"IntervalStyle", "postgres"},
	} {
		messages = append(messages, &pgproto3.ParameterStatus{Name: parameter[0], Value: parameter[1]})
	}
	messages = append(messages,
		&pgproto3.BackendKeyData{ProcessID: c.key.id, SecretKey: c.key.secret[:]},
		&pgproto3.ReadyForQuery{TxStatus: 'I'})
	var out []byte
	var err error
	for _, m := range messages {
		if out, err = m.Encode(out); err != nil {
			return err
		}
	}
	_, err = c.conn.Write(out)
	return err
}

func refuseConn(conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = conn.Write(relay.AppendFailure(nil, "FATAL", &outcome.Failure{
		SQLState: outcome.TooManyConnections, Message: "the entry has as many callers as it may", Hint: "Connect again; the balancer may choose another entry.",
	}))
}

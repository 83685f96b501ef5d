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

// Limits of the startup phase.
const (
	maxStartupBytes  = 10_000
	maxPasswordBytes = 1_000
	maxNegotiations  = 3
	lengthBytes      = 4
)

// Startup parameters.
const (
	userParameter     = "user"
	databaseParameter = "database"
	routeParameter    = "lentilwind.route"
)

// Request codes sent in place of a protocol version.
const (
	sslRequestCode    = 80877103
	gssEncRequestCode = 80877104
	cancelRequestCode = 80877102
)

// serverVersion is reported to drivers, which choose their catalog queries by it.
const serverVersion = "17.0 (lentilwind)"

// handshake runs the startup phase: encryption, key check and session state. It returns false if the connection must be closed.
func (c *callerConn) handshake() bool {
	_ = c.conn.SetDeadline(time.Now().Add(c.server.cfg.Limits.StartupTimeout))
	packet, err := c.negotiate()
	if err != nil || packet == nil {
		return false
	}
	var startup pgproto3.StartupMessage
	if err := startup.Decode(packet); err != nil {
		c.writeFatal(&outcome.Failure{SQLState: outcome.ProtocolViolation, Message: "malformed startup message"})
		return false
	}
	if failure := c.authenticate(startup.Parameters); failure != nil {
		c.writeFatal(failure)
		return false
	}
	c.server.register(c)
	if err := c.sendStartupComplete(startup); err != nil {
		c.server.unregister(c)
		return false
	}
	_ = c.conn.SetDeadline(time.Time{})
	return true
}

// negotiate answers encryption and cancel requests and returns the startup packet; it returns nil without an error after a cancel
// request.
func (c *callerConn) negotiate() ([]byte, error) {
	for range maxNegotiations {
		packet, err := c.readPacket()
		if err != nil {
			return nil, err
		}
		switch binary.BigEndian.Uint32(packet) {
		case sslRequestCode:
			err = c.startTLS()
		case gssEncRequestCode:
			_, err = c.conn.Write([]byte{'N'})
		case cancelRequestCode:
			c.handleCancelRequest(packet)
			return nil, nil
		default:
			return packet, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, errors.New("caller: too many encryption requests")
}

// readPacket reads one startup packet and returns it without the length field.
func (c *callerConn) readPacket() ([]byte, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(c.r, length[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size < 2*lengthBytes || size > maxStartupBytes {
		return nil, fmt.Errorf("caller: invalid startup packet length of %d bytes", size)
	}
	packet := make([]byte, size-lengthBytes)
	_, err := io.ReadFull(c.r, packet)
	return packet, err
}

func (c *callerConn) startTLS() error {
	if c.server.cfg.TLS == nil || c.encrypted {
		_, err := c.conn.Write([]byte{'N'})
		return err
	}
	if c.r.Buffered() > 0 {
		return errors.New("caller: unencrypted data after an encryption request")
	}
	if _, err := c.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	conn := tls.Server(c.conn, c.server.cfg.TLS)
	if err := conn.Handshake(); err != nil {
		return fmt.Errorf("caller: TLS handshake: %w", err)
	}
	c.conn, c.encrypted = conn, true
	c.r.Reset(conn)
	return nil
}

func (c *callerConn) authenticate(parameters map[string]string) *outcome.Failure {
	c.workspace = inventory.WorkspaceName(parameters[userParameter])
	c.service = group.Service(parameters[databaseParameter])
	c.route = inventory.RouteName(parameters[routeParameter])
	if c.service == "" {
		c.service = group.Service(c.workspace)
	}
	if !c.server.awaitConfiguration(c.connected.Add(c.server.cfg.Limits.StartupTimeout)) {
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
	return c.resumeSession(parameters[session.ParameterName])
}

// awaitConfiguration waits for the first inventory until a deadline; without one, neither keys nor services can be checked.
func (s *Server) awaitConfiguration(deadline time.Time) bool {
	if s.cfg.Directory.Snapshot().Revision > 0 {
		return true
	}
	subscription := s.cfg.Directory.Subscribe()
	defer subscription.Close()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for s.cfg.Directory.Snapshot().Revision == 0 {
		select {
		case <-subscription.Changed:
		case <-timer.C:
			return false
		}
	}
	return true
}

// resumeSession restores the consistency state of an earlier connection from its session token.
func (c *callerConn) resumeSession(token string) *outcome.Failure {
	c.session = session.State{Workspace: c.workspace, Partial: true}
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
	c.session = state
	return nil
}

// checkKey requests the API key and compares it with the granted keys of the workspace.
func (c *callerConn) checkKey() *outcome.Failure {
	if c.workspace == inventory.PublicWorkspace {
		return nil
	}
	if !c.encrypted && !c.plainTextAllowed() {
		return &outcome.Failure{SQLState: outcome.WrongAuthorization, Message: "keys are only taken over TLS", Hint: "Set sslmode=require."}
	}
	address := c.remoteAddress()
	if !c.server.keyFailures.allowed(address, time.Now()) {
		return &outcome.Failure{SQLState: outcome.TooManyConnections, Message: "too many refused keys from this address", Hint: "Wait before you try again."}
	}
	key, err := c.readKey()
	if err != nil {
		return &outcome.Failure{SQLState: outcome.ProtocolViolation, Message: "no key was sent"}
	}
	hash := directory.HashKey(key)
	workspace := c.server.cfg.Directory.Snapshot().Workspace(c.workspace)
	if workspace == nil || len(key) == 0 || !workspace.HasKey(hash) {
		c.server.recordKeyFailure(address, c.workspace)
		return &outcome.Failure{SQLState: outcome.WrongPassword, Message: "the key is not granted to this workspace"}
	}
	c.keyHash, c.hasKey = hash, true
	c.rewriter.Key = key
	return nil
}

func (s *Server) recordKeyFailure(address netip.Addr, workspace inventory.WorkspaceName) {
	s.keyFailures.add(address, time.Now())
	s.Counters.KeyFailures.Add(1)
	if s.cfg.Directory.Snapshot().Workspace(workspace) == nil {
		// The name of an unknown workspace is not recorded: it may be a key that was sent in the wrong field.
		workspace = ""
	}
	s.cfg.Events.Record(events.Event{
		Kind: events.KindRequestRefused, Workspace: string(workspace), Detail: "key not granted, from " + address.String(),
	})
}

func (c *callerConn) plainTextAllowed() bool {
	address := c.remoteAddress()
	for _, prefix := range c.server.cfg.PlainTextNetworks {
		if prefix.Contains(address) {
			return true
		}
	}
	return false
}

func (c *callerConn) remoteAddress() netip.Addr {
	tcp, ok := c.conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return tcp.AddrPort().Addr().Unmap()
}

const kindPassword relay.Kind = 'p'

func (c *callerConn) readKey() ([]byte, error) {
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

// sendStartupComplete confirms the startup and reports the server parameters, the cancel key and readiness.
func (c *callerConn) sendStartupComplete(startup pgproto3.StartupMessage) error {
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
		&pgproto3.BackendKeyData{ProcessID: c.cancelKey.id, SecretKey: c.cancelKey.secret[:]},
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

package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"lentilwind.dev/control/internal/replica"
	"lentilwind.dev/instance/identity"
	"lentilwind.dev/lentilwind/catalog"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/journal"
	"lentilwind.dev/lentilwind/jsonc"
	"lentilwind.dev/lentilwind/lease"
	"lentilwind.dev/lentilwind/protocol"
)

// Limits and timeouts of requests.
const (
	maxBodyBytes      = 4 << 20
	maxDocumentBytes  = 2 << 20
	maxOperationBytes = 128
	proposeTimeout    = 4 * time.Second
	maxWait           = 30 * time.Second
	// inForceTimeout limits the wait until the base revision of a change of databases is in force.
	inForceTimeout = 2 * time.Second
)

// Replica is the member of the journal to which requests are sent.
type Replica interface {
	catalog.Ledger
	Leader() (journal.Member, bool)
	IsMember() bool
	Status(ctx context.Context) (replica.Status, error)
	Snapshot(ctx context.Context) (journal.Snapshot, error)
	AddMember(ctx context.Context, name inventory.InstanceName, address string, replaces inventory.InstanceName) error
	RemoveMember(ctx context.Context, name inventory.InstanceName) error
}

// Leases reports which entries hold configuration leases and which revisions are in force.
type Leases interface {
	WaitInForce(ctx context.Context, revision inventory.Revision) (protocol.InForce, error)
	Leases() []lease.Lease
}

// Roster lists the backend servers and entries that announce themselves.
type Roster interface {
	Servers() []protocol.ServerState
	Entries() []protocol.EntryState
}

// MemberChangeChecker checks whether the databases of services may be changed.
type MemberChangeChecker interface {
	// CheckMemberChanges returns the reasons against the change; it may be called only once the current inventory is in force
	// everywhere.
	CheckMemberChanges(ctx context.Context, next *inventory.Inventory) []jsonc.Problem
}

// Config has the dependencies of the operators' interface.
type Config struct {
	Replica       Replica
	Leases        Leases
	Roster        Roster
	MemberChanges MemberChangeChecker
	Log           *log.Logger
}

// Service handles the requests of operators.
type Service struct {
	cfg Config
}

// NewHandler returns the handler of the operators' interface; every request needs the certificate of an operator.
func NewHandler(cfg Config) http.Handler {
	s := &Service{cfg: cfg}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/inventory", s.requireLeader(s.showInventory))
	mux.HandleFunc("POST /v1/inventory", s.requireLeader(s.applyInventory))
	mux.HandleFunc("GET /v1/inventory/history", s.requireLeader(s.showHistory))
	mux.HandleFunc("GET /v1/inventory/revisions/{revision}", s.requireLeader(s.showRevision))
	mux.HandleFunc("GET /v1/inventory/in-force", s.requireLeader(s.showInForce))
	mux.HandleFunc("GET /v1/status", s.requireLeader(s.showStatus))
	mux.HandleFunc("POST /v1/members", s.requireLeader(s.changeMembers))
	mux.HandleFunc("POST /v1/snapshot", s.requireLeader(s.takeSnapshot))
	mux.HandleFunc("GET /v1/snapshot", s.requireLeader(s.downloadSnapshot))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.writeError(w, r, &protocol.OperatorError{Code: protocol.ErrorNotFound, Message: "there is no " + r.Method + " " + r.URL.Path})
	})
	return s.requireOperator(mux)
}

// handlerFunc handles one request or returns an error, which is sent to the operator.
type handlerFunc func(w http.ResponseWriter, r *http.Request) error

func (s *Service) requireOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		peer, err := peerOf(r)
		if err != nil || peer.Role != identity.RoleOperator {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, r)
	})
}

func peerOf(r *http.Request) (identity.Peer, error) {
	if r.TLS == nil {
		return identity.Peer{}, errors.New("operator: the request came without TLS")
	}
	return identity.PeerOf(*r.TLS)
}

// requireLeader refuses requests unless this process holds the leader lease, so that no process answers from stale state.
func (s *Service) requireLeader(handle handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, leads := s.cfg.Replica.Leading(); !leads {
			s.writeError(w, r, &journal.NotLeaderError{})
			return
		}
		if err := handle(w, r); err != nil {
			s.writeError(w, r, err)
		}
	}
}

func (s *Service) writeError(w http.ResponseWriter, r *http.Request, err error) {
	refused := s.toOperatorError(err)
	s.cfg.Log.Info().Str("path", r.URL.Path).Str("code", string(refused.Code)).Msg(refused.Message)
	writeJSON(w, httpStatus(refused.Code), refused)
}

// toOperatorError converts an error to the form that is sent to operators.
func (s *Service) toOperatorError(err error) *protocol.OperatorError {
	var refused *protocol.OperatorError
	var notLeader *journal.NotLeaderError
	var refusal *protocol.Refusal
	var change *journal.MembershipChangeError
	switch {
	case errors.As(err, &refused):
		return refused
	case errors.As(err, &notLeader), errors.As(err, &refusal) && refusal.Code == protocol.CodeNotLeader:
		return s.notLeaderError()
	case errors.As(err, &change):
		return &protocol.OperatorError{Code: protocol.ErrorConflict, Message: change.Error()}
	}
	return &protocol.OperatorError{Code: protocol.ErrorUnavailable, Message: err.Error()}
}

func (s *Service) notLeaderError() *protocol.OperatorError {
	refused := &protocol.OperatorError{Code: protocol.ErrorNotLeader, Message: "this control process does not lead"}
	if leader, known := s.cfg.Replica.Leader(); known {
		refused.Leader = leader.OperatorAddress
	}
	return refused
}

func httpStatus(code protocol.ErrorCode) int {
	switch code {
	case protocol.ErrorConflict:
		return http.StatusConflict
	case protocol.ErrorRefused:
		return http.StatusUnprocessableEntity
	case protocol.ErrorNotLeader:
		return http.StatusMisdirectedRequest
	case protocol.ErrorNotFound:
		return http.StatusNotFound
	case protocol.ErrorInvalid:
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func readJSON(r *http.Request, body any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(body); err != nil {
		return invalidRequest("the request's body is not understood: " + err.Error())
	}
	return nil
}

func invalidRequest(message string) error {
	return &protocol.OperatorError{Code: protocol.ErrorInvalid, Message: message}
}

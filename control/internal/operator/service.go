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

// Limits and times of requests.
const (
	maxBodyBytes     = 4 << 20
	maxDocumentBytes = 2 << 20
	maxOperationSize = 128
	proposeTimeout   = 4 * time.Second
	maxWait          = 30 * time.Second
	// inForceWait bounds the wait for the base of a change of databases.
	inForceWait = 2 * time.Second
)

// Replica is the member of the journal that the requests go to.
type Replica interface {
	catalog.Ledger
	Leader() (journal.Member, bool)
	IsMember() bool
	Status(ctx context.Context) (replica.Status, error)
	Snapshot(ctx context.Context) (journal.Snapshot, error)
	AddMember(ctx context.Context, name inventory.InstanceName, address string, replaces inventory.InstanceName) error
	RemoveMember(ctx context.Context, name inventory.InstanceName) error
}

// Leases knows which entries hold configuration leases.
type Leases interface {
	WaitInForce(ctx context.Context, revision inventory.Revision) (protocol.InForce, error)
	Leases() []lease.Lease
}

// Roster knows which backend servers and entries announce themselves.
type Roster interface {
	Servers() []protocol.ServerState
	Entries() []protocol.EntryState
}

// MemberChangeChecker knows whether the databases of services may be changed.
type MemberChangeChecker interface {
	// CheckMemberChanges may be asked once the current inventory is in force everywhere.
	CheckMemberChanges(ctx context.Context, next *inventory.Inventory) []jsonc.Problem
}

// Config is what the operators' interface needs.
type Config struct {
	Replica       Replica
	Leases        Leases
	Roster        Roster
	MemberChanges MemberChangeChecker
	Log           *log.Logger
}

// Service answers operators.
type Service struct {
	cfg Config
}

// NewHandler returns the operators' interface; every request needs a certificate of an operator.
func NewHandler(cfg Config) http.Handler {
	s := &Service{cfg: cfg}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/inventory", s.leaderOnly(s.showInventory))
	mux.HandleFunc("POST /v1/inventory", s.leaderOnly(s.applyInventory))
	mux.HandleFunc("GET /v1/inventory/history", s.leaderOnly(s.showHistory))
	mux.HandleFunc("GET /v1/inventory/revisions/{revision}", s.leaderOnly(s.showRevision))
	mux.HandleFunc("GET /v1/inventory/in-force", s.leaderOnly(s.showInForce))
	mux.HandleFunc("GET /v1/status", s.leaderOnly(s.showStatus))
	mux.HandleFunc("POST /v1/members", s.leaderOnly(s.changeMembers))
	mux.HandleFunc("POST /v1/snapshot", s.leaderOnly(s.takeSnapshot))
	mux.HandleFunc("GET /v1/snapshot", s.leaderOnly(s.downloadSnapshot))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.fail(w, r, &protocol.OperatorError{Code: protocol.ErrorNotFound, Message: "there is no " + r.Method + " " + r.URL.Path})
	})
	return s.operatorsOnly(mux)
}

// action answers one request or returns why it failed.
type action func(w http.ResponseWriter, r *http.Request) error

func (s *Service) operatorsOnly(next http.Handler) http.Handler {
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

// leaderOnly refuses unless this process leads, so that no stale process answers anything.
func (s *Service) leaderOnly(do action) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, leads := s.cfg.Replica.Leading(); !leads {
			s.fail(w, r, &journal.NotLeaderError{})
			return
		}
		if err := do(w, r); err != nil {
			s.fail(w, r, err)
		}
	}
}

func (s *Service) fail(w http.ResponseWriter, r *http.Request, err error) {
	refused := s.operatorError(err)
	s.cfg.Log.Info().Str("path", r.URL.Path).Str("code", string(refused.Code)).Msg(refused.Message)
	writeJSON(w, statusOf(refused.Code), refused)
}

// operatorError finds the operators' form of an error.
func (s *Service) operatorError(err error) *protocol.OperatorError {
	var refused *protocol.OperatorError
	var notLeader *journal.NotLeaderError
	var refusal *protocol.Refusal
	var change *journal.MembershipChangeError
	switch {
	case errors.As(err, &refused):
		return refused
	case errors.As(err, &notLeader), errors.As(err, &refusal) && refusal.Code == protocol.CodeNotLeader:
		return s.notLeader()
	case errors.As(err, &change):
		return &protocol.OperatorError{Code: protocol.ErrorConflict, Message: change.Error()}
	}
	return &protocol.OperatorError{Code: protocol.ErrorUnavailable, Message: err.Error()}
}

func (s *Service) notLeader() *protocol.OperatorError {
	refused := &protocol.OperatorError{Code: protocol.ErrorNotLeader, Message: "this control process does not lead"}
	if leader, known := s.cfg.Replica.Leader(); known {
		refused.Leader = leader.OperatorAddress
	}
	return refused
}

func statusOf(code protocol.ErrorCode) int {
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
		return invalid("the request's body is not understood: " + err.Error())
	}
	return nil
}

func invalid(message string) error {
	return &protocol.OperatorError{Code: protocol.ErrorInvalid, Message: message}
}

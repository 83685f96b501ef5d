package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"lentilwind.dev/instance/identity"
	"lentilwind.dev/lentilctl/internal/failure"
	"lentilwind.dev/lentilwind/inventory"
	"lentilwind.dev/lentilwind/protocol"
)

// Times and limits of requests.
const (
	attemptTimeout   = 5 * time.Second
	retryDelay       = 200 * time.Millisecond
	maxAnswerBytes   = 256 << 20
	maxLeaderHints   = 8
	DefaultTimeout   = 20 * time.Second
	longPollInterval = 2 * time.Second
)

// Client sends operators' requests to the control leader.
type Client struct {
	addresses []string
	http      *http.Client
}

// New returns a client for the given settings.
func New(s *Settings) (*Client, error) {
	source, err := identity.Load(s.Identity)
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	transport := &http.Transport{TLSClientConfig: source.Client("http/1.1")}
	return &Client{addresses: slices.Clone(s.Control), http: &http.Client{Transport: transport}}, nil
}

// Inventory returns the accepted inventory with its document.
func (c *Client) Inventory(ctx context.Context) (protocol.InventoryRecord, error) {
	var record protocol.InventoryRecord
	err := c.do(ctx, http.MethodGet, "/v1/inventory", nil, &record)
	return record, err
}

// Revision returns one accepted inventory of the past.
func (c *Client) Revision(ctx context.Context, revision inventory.Revision) (protocol.InventoryRecord, error) {
	var record protocol.InventoryRecord
	err := c.do(ctx, http.MethodGet, fmt.Sprintf("/v1/inventory/revisions/%d", revision), nil, &record)
	return record, err
}

// History returns the accepted inventories without their documents, newest last.
func (c *Client) History(ctx context.Context) ([]protocol.InventoryRecord, error) {
	var records []protocol.InventoryRecord
	err := c.do(ctx, http.MethodGet, "/v1/inventory/history", nil, &records)
	return records, err
}

// Apply asks for a change; the operation id makes resends after lost answers safe.
func (c *Client) Apply(ctx context.Context, change protocol.ApplyInventory) (protocol.InventoryRecord, error) {
	var record protocol.InventoryRecord
	err := c.do(ctx, http.MethodPost, "/v1/inventory", change, &record)
	return record, err
}

// InForce asks once whether a revision is in force and lets control wait for it.
func (c *Client) InForce(ctx context.Context, revision inventory.Revision, wait time.Duration) (protocol.InForce, error) {
	query := url.Values{
		"revision": {fmt.Sprint(revision)},
		"waitMs":   {fmt.Sprint(wait.Milliseconds())},
	}
	var answer protocol.InForce
	err := c.do(ctx, http.MethodGet, "/v1/inventory/in-force?"+query.Encode(), nil, &answer)
	return answer, err
}

// WaitInForce asks until the revision is in force or the context ends.
func (c *Client) WaitInForce(ctx context.Context, revision inventory.Revision) (protocol.InForce, error) {
	var last protocol.InForce
	for {
		answer, err := c.InForce(ctx, revision, longPollInterval)
		switch {
		case err == nil && answer.InForce:
			return answer, nil
		case err == nil:
			last = answer
		case ctx.Err() == nil:
			return answer, err
		}
		if ctx.Err() != nil {
			return last, nil
		}
	}
}

// Status returns the state of the fleet.
func (c *Client) Status(ctx context.Context) (protocol.FleetStatus, error) {
	var status protocol.FleetStatus
	err := c.do(ctx, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// Do sends one request to the leader and decodes the answer.
func (c *Client) Do(ctx context.Context, method, path string, body, answer any) error {
	return c.do(ctx, method, path, body, answer)
}

// do tries the control processes in turn, follows hints to the leader, and gives up when the context ends.
func (c *Client) do(ctx context.Context, method, path string, body, answer any) error {
	payload, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("client: %w", err)
	}
	var last error
	for attempt := 0; ; attempt++ {
		address := c.addresses[attempt%len(c.addresses)]
		err := c.tryLeader(ctx, address, method, path, payload, answer)
		if err == nil || !retryable(err) {
			return err
		}
		last = err
		select {
		case <-ctx.Done():
			return &failure.Error{Code: failure.CodeUnavailable, Err: fmt.Errorf("client: no control leader answered in time: %w", last)}
		case <-time.After(retryDelay):
		}
	}
}

// tryLeader starts at one address and follows the hints of processes that do not lead.
func (c *Client) tryLeader(ctx context.Context, address, method, path string, payload []byte, answer any) error {
	for range maxLeaderHints {
		err := c.try(ctx, address, method, path, payload, answer)
		var refused *protocol.OperatorError
		if !errors.As(err, &refused) || refused.Code != protocol.ErrorNotLeader || refused.Leader == "" || refused.Leader == address {
			return err
		}
		address = refused.Leader
	}
	return &protocol.OperatorError{Code: protocol.ErrorUnavailable, Message: "the leader moves; try again"}
}

func retryable(err error) bool {
	var refused *protocol.OperatorError
	if errors.As(err, &refused) {
		return refused.Code == protocol.ErrorNotLeader || refused.Code == protocol.ErrorUnavailable
	}
	var coded *failure.Error
	return !errors.As(err, &coded)
}

func (c *Client) try(ctx context.Context, address, method, path string, payload []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "https://"+address+path, bytes.NewReader(payload))
	if err != nil {
		return &failure.Error{Code: failure.CodeFailure, Err: fmt.Errorf("client: %w", err)}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("client: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("client: answer of %s: %w", address, err)
	}
	return decode(response.StatusCode, data, answer)
}

func decode(status int, data []byte, answer any) error {
	if status >= http.StatusOK && status < http.StatusMultipleChoices {
		if raw, ok := answer.(*[]byte); ok {
			*raw = data
			return nil
		}
		if err := json.Unmarshal(data, answer); err != nil {
			return &failure.Error{Code: failure.CodeFailure, Err: fmt.Errorf("client: answer: %w", err)}
		}
		return nil
	}
	var refused protocol.OperatorError
	if err := json.Unmarshal(data, &refused); err != nil || refused.Code == "" {
		return &protocol.OperatorError{Code: protocol.ErrorUnavailable, Message: fmt.Sprintf("HTTP status %d", status)}
	}
	return &refused
}

// Snapshot downloads control's state.
func (c *Client) Snapshot(ctx context.Context) ([]byte, error) {
	var data []byte
	err := c.do(ctx, http.MethodGet, "/v1/snapshot", nil, &data)
	return data, err
}

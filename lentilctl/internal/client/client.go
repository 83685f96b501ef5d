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

// Request timeouts, intervals and limits.
const (
	attemptTimeout   = 5 * time.Second
	retryDelay       = 200 * time.Millisecond
	maxResponseBytes = 256 << 20
	maxLeaderHints   = 8
	DefaultTimeout   = 20 * time.Second
	longPollInterval = 2 * time.Second
)

// Client sends operator requests to the control leader.
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

// Inventory returns the newest accepted inventory revision with its document.
func (c *Client) Inventory(ctx context.Context) (protocol.InventoryRecord, error) {
	var record protocol.InventoryRecord
	err := c.do(ctx, http.MethodGet, "/v1/inventory", nil, &record)
	return record, err
}

// Revision returns the given accepted inventory revision with its document.
func (c *Client) Revision(ctx context.Context, revision inventory.Revision) (protocol.InventoryRecord, error) {
	var record protocol.InventoryRecord
	err := c.do(ctx, http.MethodGet, fmt.Sprintf("/v1/inventory/revisions/%d", revision), nil, &record)
	return record, err
}

// History returns all accepted inventory revisions without their documents, oldest first.
func (c *Client) History(ctx context.Context) ([]protocol.InventoryRecord, error) {
	var records []protocol.InventoryRecord
	err := c.do(ctx, http.MethodGet, "/v1/inventory/history", nil, &records)
	return records, err
}

// Apply submits an inventory change. The operation ID makes it safe to resend a request whose response was lost.
func (c *Client) Apply(ctx context.Context, change protocol.ApplyInventory) (protocol.InventoryRecord, error) {
	var record protocol.InventoryRecord
	err := c.do(ctx, http.MethodPost, "/v1/inventory", change, &record)
	return record, err
}

// InForce asks once whether a revision is in force; control holds the request open for up to wait.
func (c *Client) InForce(ctx context.Context, revision inventory.Revision, wait time.Duration) (protocol.InForce, error) {
	query := url.Values{
		"revision": {fmt.Sprint(revision)},
		"waitMs":   {fmt.Sprint(wait.Milliseconds())},
	}
	var result protocol.InForce
	err := c.do(ctx, http.MethodGet, "/v1/inventory/in-force?"+query.Encode(), nil, &result)
	return result, err
}

// WaitInForce polls until the revision is in force or the context ends.
func (c *Client) WaitInForce(ctx context.Context, revision inventory.Revision) (protocol.InForce, error) {
	var last protocol.InForce
	for {
		result, err := c.InForce(ctx, revision, longPollInterval)
		switch {
		case err == nil && result.InForce:
			return result, nil
		case err == nil:
			last = result
		case ctx.Err() == nil:
			return result, err
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

// Do sends a request to the leader and decodes the response into result.
func (c *Client) Do(ctx context.Context, method, path string, body, result any) error {
	return c.do(ctx, method, path, body, result)
}

// do tries the control processes in turn and follows leader hints until the context ends.
func (c *Client) do(ctx context.Context, method, path string, body, result any) error {
	payload, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("client: %w", err)
	}
	var last error
	for attempt := 0; ; attempt++ {
		address := c.addresses[attempt%len(c.addresses)]
		err := c.tryLeader(ctx, address, method, path, payload, result)
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

// tryLeader sends a request to one address and follows the leader hints of non-leaders.
func (c *Client) tryLeader(ctx context.Context, address, method, path string, payload []byte, result any) error {
	for range maxLeaderHints {
		err := c.try(ctx, address, method, path, payload, result)
		var operatorErr *protocol.OperatorError
		if !errors.As(err, &operatorErr) || operatorErr.Code != protocol.ErrorNotLeader || operatorErr.Leader == "" || operatorErr.Leader == address {
			return err
		}
		address = operatorErr.Leader
	}
	return &protocol.OperatorError{Code: protocol.ErrorUnavailable, Message: "the leader is changing; try again"}
}

// retryable reports whether the request may succeed on another attempt.
func retryable(err error) bool {
	var operatorErr *protocol.OperatorError
	if errors.As(err, &operatorErr) {
		return operatorErr.Code == protocol.ErrorNotLeader || operatorErr.Code == protocol.ErrorUnavailable
	}
	var exitErr *failure.Error
	return !errors.As(err, &exitErr)
}

func (c *Client) try(ctx context.Context, address, method, path string, payload []byte, result any) error {
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("client: read response from %s: %w", address, err)
	}
	return decode(response.StatusCode, data, result)
}

func decode(status int, data []byte, result any) error {
	if status >= http.StatusOK && status < http.StatusMultipleChoices {
		if raw, ok := result.(*[]byte); ok {
			*raw = data
			return nil
		}
		if err := json.Unmarshal(data, result); err != nil {
			return &failure.Error{Code: failure.CodeFailure, Err: fmt.Errorf("client: decode response: %w", err)}
		}
		return nil
	}
	var operatorErr protocol.OperatorError
	if err := json.Unmarshal(data, &operatorErr); err != nil || operatorErr.Code == "" {
		return &protocol.OperatorError{Code: protocol.ErrorUnavailable, Message: fmt.Sprintf("HTTP status %d", status)}
	}
	return &operatorErr
}

// Snapshot downloads a snapshot of the control state.
func (c *Client) Snapshot(ctx context.Context) ([]byte, error) {
	var data []byte
	err := c.do(ctx, http.MethodGet, "/v1/snapshot", nil, &data)
	return data, err
}

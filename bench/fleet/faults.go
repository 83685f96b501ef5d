package fleet

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const faultTimeout = 5 * time.Second

// AnnounceLeave makes the backend server announce that it is leaving; it stops once it has no work left.
func (d *Database) AnnounceLeave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, faultTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.ControlAddress.String()+"/leave", nil)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("fleet: %s answers %s", d.Name(), response.Status)
	}
	return nil
}

package executor

import (
	"context"
	"time"
)

func contextFor(limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), limit)
}

// Package pause provides a sleep that ends early when a context is cancelled.
package pause

import (
	"context"
	"time"
)

// For waits for d. It returns false if ctx ends first, and for a d of zero or less if ctx has already ended.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

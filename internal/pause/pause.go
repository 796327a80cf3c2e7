// Package pause provides a sleep that a context can interrupt.
package pause

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends. It returns ctx.Err() if ctx ended before d elapsed,
// also if it had ended before the call.
func For(ctx context.Context, d time.Duration) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

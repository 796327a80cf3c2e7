// Package pause waits for a time that a context can cut short.
package pause

import (
	"context"
	"time"
)

// For waits for d. It returns the context's error when that ended first or had ended
// before.
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

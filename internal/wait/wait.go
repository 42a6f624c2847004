// Package wait waits for a duration that a context can cut short.
//
// # Usage
//
//	if !wait.For(ctx, backoff) {
//		return ctx.Err()
//	}
package wait

import (
	"context"
	"time"
)

// For waits for a duration and reports whether it passed before the context ended.
func For(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

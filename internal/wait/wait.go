// Package wait lets a goroutine wait for a time that its context can end.
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

// For waits and tells whether the time passed before the context ended.
func For(ctx context.Context, length time.Duration) bool {
	if length <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

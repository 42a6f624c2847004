package settings

import (
	"bytes"
	"context"
	"os"
	"time"
)

// watchInterval is how often the file is read without a signal; a change must
// be in force well within the seconds that operators wait for one.
const watchInterval = time.Second

// Watcher reads a settings file again when a signal says so, and at intervals
// for changes that come without one. The fields are set before Run.
type Watcher struct {
	Path string
	// Signals says that the file has changed.
	Signals <-chan os.Signal
	// Ticks replaces the watcher's own ticker.
	Ticks <-chan time.Time
	// Load reads and checks the file.
	Load func(path string) (*Settings, error)
	// Changed gets new settings, Failed why a changed file cannot be used; the
	// settings of before then stay in use.
	Changed func(next *Settings)
	Failed  func(err error)
}

// Run watches until the context ends.
func (watcher *Watcher) Run(ctx context.Context) {
	ticks := watcher.Ticks
	if ticks == nil {
		ticker := time.NewTicker(watchInterval)
		defer ticker.Stop()
		ticks = ticker.C
	}
	// The process has read the file once; what cannot be read now is read later.
	seen, _ := os.ReadFile(watcher.Path)
	for {
		signalled := false
		select {
		case <-watcher.Signals:
			signalled = true
		case <-ticks:
		case <-ctx.Done():
			return
		}
		seen = watcher.look(seen, signalled)
	}
}

// look loads the file if it differs from what was seen, or if a signal asks.
func (watcher *Watcher) look(seen []byte, signalled bool) []byte {
	text, err := os.ReadFile(watcher.Path)
	if err != nil || bytes.Equal(text, seen) && !signalled {
		return seen
	}
	next, err := watcher.Load(watcher.Path)
	if err != nil {
		watcher.Failed(err)
		return text
	}
	watcher.Changed(next)
	return text
}

package settings

import (
	"bytes"
	"context"
	"os"
	"time"
)

// pollInterval is how often the file is read without a signal. A change must take
// effect within the few seconds that operators wait for it.
const pollInterval = time.Second

// Watcher reloads a settings file on a signal, and polls it for changes that come
// without one. The fields are set before Run; the callbacks run in its goroutine.
type Watcher struct {
	Path string
	// Signals requests a reload, even if the file is unchanged.
	Signals <-chan os.Signal
	// Ticks starts each poll; nil means a ticker of one second.
	Ticks <-chan time.Time
	// Load reads and checks the file at the path.
	Load func(path string) (*Settings, error)
	// OnChange receives the new settings. OnError receives the error of a file that
	// cannot be loaded; the previous settings then stay in use.
	OnChange func(next *Settings)
	OnError  func(err error)
}

// Run watches the file until the context ends.
func (watcher *Watcher) Run(ctx context.Context) {
	ticks := watcher.Ticks
	if ticks == nil {
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		ticks = ticker.C
	}
	// The process has loaded the file before. If this read fails, the next poll
	// reads the file again.
	lastText, _ := os.ReadFile(watcher.Path)
	for {
		signalled := false
		select {
		case <-watcher.Signals:
			signalled = true
		case <-ticks:
		case <-ctx.Done():
			return
		}
		lastText = watcher.reloadIfChanged(lastText, signalled)
	}
}

// reloadIfChanged loads the file if it differs from the last text or if a signal
// arrived, and returns the new last text.
func (watcher *Watcher) reloadIfChanged(lastText []byte, signalled bool) []byte {
	text, err := os.ReadFile(watcher.Path)
	if err != nil || bytes.Equal(text, lastText) && !signalled {
		return lastText
	}
	next, err := watcher.Load(watcher.Path)
	if err != nil {
		watcher.OnError(err)
		return text
	}
	watcher.OnChange(next)
	return text
}

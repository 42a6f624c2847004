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

	// lastText is the text that was loaded last, and known says that there is one.
	lastText []byte
	known    bool
	// signalled says that a signal has arrived whose reload is still due, and unreadable
	// that a failure to read the file was reported.
	signalled, unreadable bool
}

// Remember records the present text of the file. It is called before the process loads
// the file, so that Run reloads what changes from then on.
func (watcher *Watcher) Remember() {
	text, err := os.ReadFile(watcher.Path)
	watcher.lastText, watcher.known = text, err == nil
}

// Run watches the file until the context ends.
func (watcher *Watcher) Run(ctx context.Context) {
	ticks := watcher.Ticks
	if ticks == nil {
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		ticks = ticker.C
	}
	if !watcher.known {
		watcher.Remember()
	}
	for {
		select {
		case <-watcher.Signals:
			watcher.signalled, watcher.unreadable = true, false
		case <-ticks:
		case <-ctx.Done():
			return
		}
		watcher.reloadIfChanged()
	}
}

// reloadIfChanged loads the file if it differs from the last text or if a signal
// arrived. While the file cannot be read, the reload stays due.
func (watcher *Watcher) reloadIfChanged() {
	text, err := os.ReadFile(watcher.Path)
	if err != nil {
		// Reported once for each signal, not at each poll.
		if !watcher.unreadable {
			watcher.OnError(err)
		}
		watcher.unreadable = true
		return
	}
	watcher.unreadable = false
	if bytes.Equal(text, watcher.lastText) && !watcher.signalled {
		return
	}
	watcher.lastText, watcher.signalled = text, false
	next, err := watcher.Load(watcher.Path)
	if err != nil {
		watcher.OnError(err)
		return
	}
	watcher.OnChange(next)
}

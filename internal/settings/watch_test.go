package settings_test

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/settings"
)

// TestWatcherReloadsChangedFile checks that a change is loaded with and without a
// signal, and that a file that cannot be loaded keeps the previous settings.
func TestWatcherReloadsChangedFile(t *testing.T) {
	g := gomega.NewWithT(t)
	path := filepath.Join(t.TempDir(), "node.jsonc")
	write := func(text string) { g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(gomega.Succeed()) }
	write("first")
	signals, ticks := make(chan os.Signal), make(chan time.Time)
	// Buffered, so that an unexpected event fails a check rather than blocks Run.
	events := make(chan string, 8)
	watcher := &settings.Watcher{
		Path:    path,
		Signals: signals,
		Ticks:   ticks,
		Load: func(path string) (*settings.Settings, error) {
			text, err := os.ReadFile(path)
			if string(text) == "faulty" {
				return nil, errors.New("faulty")
			}
			return &settings.Settings{DataFolder: string(text)}, err
		},
		OnChange: func(next *settings.Settings) { events <- "changed to " + next.DataFolder },
		OnError:  func(err error) { events <- "failed: " + err.Error() },
	}
	stop := runWatcher(watcher)
	ticks <- time.Time{}
	// The file is written only after the event of the previous reload, since a
	// reload in progress could read a partly written file.
	signals <- syscall.SIGHUP
	g.Expect(<-events).To(gomega.Equal("changed to first"))
	write("second")
	ticks <- time.Time{}
	g.Expect(<-events).To(gomega.Equal("changed to second"))
	write("faulty")
	signals <- syscall.SIGHUP
	g.Expect(<-events).To(gomega.Equal("failed: faulty"))
	write("third")
	signals <- syscall.SIGHUP
	g.Expect(<-events).To(gomega.Equal("changed to third"))
	stop()
}

// runWatcher runs a watcher until the function that it returns has returned.
func runWatcher(watcher *settings.Watcher) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		watcher.Run(ctx)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// A signal that comes while the file cannot be read is reported, and the reload follows
// once the file is back. Without a signal the failure is reported once.
func TestSignalIsKeptWhileFileIsUnreadable(t *testing.T) {
	g := gomega.NewWithT(t)
	path := filepath.Join(t.TempDir(), "node.jsonc")
	// Renamed into place, since the reload of the tick before may read the file meanwhile.
	write := func() {
		g.Expect(os.WriteFile(path+".new", []byte("same"), 0o600)).To(gomega.Succeed())
		g.Expect(os.Rename(path+".new", path)).To(gomega.Succeed())
	}
	write()
	signals, ticks := make(chan os.Signal), make(chan time.Time)
	events := make(chan string, 8)
	watcher := &settings.Watcher{
		Path: path, Signals: signals, Ticks: ticks,
		Load:     func(string) (*settings.Settings, error) { return &settings.Settings{}, nil },
		OnChange: func(*settings.Settings) { events <- "changed" },
		OnError:  func(error) { events <- "failed" },
	}
	stop := runWatcher(watcher)
	ticks <- time.Time{}
	g.Expect(os.Remove(path)).To(gomega.Succeed())
	ticks <- time.Time{}
	g.Expect(<-events).To(gomega.Equal("failed"))
	ticks <- time.Time{}
	signals <- syscall.SIGHUP
	g.Expect(<-events).To(gomega.Equal("failed"))
	ticks <- time.Time{}
	write()
	ticks <- time.Time{}
	g.Expect(<-events).To(gomega.Equal("changed"))
	ticks <- time.Time{}
	stop()
	g.Expect(events).To(gomega.BeEmpty())
}

// A change between the first load of the file and Run is found by the first poll.
func TestChangeBeforeRunIsFound(t *testing.T) {
	g := gomega.NewWithT(t)
	path := filepath.Join(t.TempDir(), "node.jsonc")
	write := func(text string) { g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(gomega.Succeed()) }
	write("first")
	ticks, events := make(chan time.Time), make(chan string, 8)
	watcher := &settings.Watcher{
		Path: path, Ticks: ticks,
		Load:     func(string) (*settings.Settings, error) { return &settings.Settings{}, nil },
		OnChange: func(*settings.Settings) { events <- "changed" },
		OnError:  func(error) { events <- "failed" },
	}
	watcher.Remember()
	write("second")
	stop := runWatcher(watcher)
	ticks <- time.Time{}
	ticks <- time.Time{}
	stop()
	g.Expect(events).To(gomega.HaveLen(1))
	g.Expect(<-events).To(gomega.Equal("changed"))
}

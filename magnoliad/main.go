// Command magnoliad runs the magnoliawall node of one target host.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/magnoliawall/magnoliawall/magnoliad/internal/command/factory"
	"github.com/magnoliawall/magnoliawall/magnoliad/internal/command/root"
)

func main() {
	tools := factory.New()
	// From here on until the exit, so that a SIGHUP never ends the process.
	signal.Notify(tools.Reloads, syscall.SIGHUP)
	os.Exit(int(root.Main(stopContext(), tools, os.Args[1:])))
}

// stopContext returns a context that ends at the first SIGTERM or SIGINT. Another
// SIGTERM has no effect then, since the supervisor of a process may repeat it, and
// deadlines bound the stop. Another SIGINT ends the process at once.
func stopContext() context.Context {
	ctx, stop := context.WithCancel(context.Background())
	received := make(chan os.Signal, 1)
	signal.Notify(received, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-received
		signal.Reset(os.Interrupt)
		stop()
	}()
	return ctx
}

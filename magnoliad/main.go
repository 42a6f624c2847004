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
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// After the first signal the default handling applies again, so that a second
	// one ends the process at once.
	context.AfterFunc(ctx, stop)
	code := root.Main(ctx, factory.New(), os.Args[1:])
	stop()
	os.Exit(int(code))
}

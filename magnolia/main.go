// Command magnolia is the command-line client for operators of magnoliawall.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/factory"
	"github.com/magnoliawall/magnoliawall/magnolia/internal/command/root"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := root.Main(ctx, factory.New(), os.Args[1:])
	stop()
	os.Exit(int(code))
}

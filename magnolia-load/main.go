// Command magnolia-load shows and measures magnoliawall with stand-in targets.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/magnoliawall/magnoliawall/internal/program"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/command/factory"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/command/root"
)

func main() {
	os.Exit(int(run()))
}

func run() program.ExitCode {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return root.Main(ctx, factory.New(), os.Args[1:])
}

package demo

import (
	"context"

	"github.com/magnoliawall/magnoliawall/internal/terminal"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/command/factory"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/mesh"
)

// serve runs the mesh until the context ends.
func (options *Options) serve(ctx context.Context, tools *factory.Factory) error {
	streams := tools.Streams
	running := &mesh.Mesh{Design: tools.Design(), System: tools.Systems.Magnolia(), Seed: options.Seed}
	streams.Progressf("magnoliawall: starting the mesh")
	if err := running.Start(ctx); err != nil {
		return err
	}
	printCommands(streams, running.Callers()[0].EntryAddress, running.AdminAddresses()[0])
	<-ctx.Done()
	streams.Progressf("magnoliawall: stopping the mesh")
	return running.Stop()
}

// printCommands prints commands to try on the running mesh.
func printCommands(streams *terminal.Streams, entry, admin string) {
	streams.Printf(`A checklist, through the whole chain of services:
  curl -i -H 'Magnoliawall-Service: agenda' http://%[1]s/visits/7/checklist

A subsidy request; sent again with its key, it is not run a second time:
  curl -i -H 'Magnoliawall-Service: subsidios' -H 'Idempotency-Key: request-1' -d 'leak at the meter' http://%[1]s/requests

What is in force, and a patch against version 1:
  go run ./magnolia status --address %[2]s
  go run ./magnolia patch create --address %[2]s --operator me --base 1 --note 'longer day view' --set /services/agenda/kinds/day/deadline='"2500ms"'

Counters of a node:
  curl http://%[2]s/metrics

Ctrl-C stops the mesh.
`, entry, admin)
}

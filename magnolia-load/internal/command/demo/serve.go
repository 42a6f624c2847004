package demo

import (
	"context"

	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/command/factory"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/mesh"
)

// serve leaves the mesh up until the context ends.
func (o *Options) serve(ctx context.Context, tools *factory.Factory) error {
	streams := tools.Streams
	running := &mesh.Mesh{Design: tools.Design(), System: tools.Systems.Magnolia(), Seed: o.Seed}
	streams.Progressf("magnoliawall: starting the mesh")
	if err := running.Start(ctx); err != nil {
		return err
	}
	entry := running.Callers()[0].Entry
	streams.Printf("A checklist, through the whole chain:\n")
	streams.Printf("  curl -i -H 'Magnoliawall-Service: agenda' http://%s/visits/7/checklist\n", entry)
	streams.Printf("Ctrl-C stops the mesh.\n")
	<-ctx.Done()
	return running.Stop()
}

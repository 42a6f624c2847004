// Package factory holds the dependencies of the commands of magnolia-load.
//
// # Usage
//
//	tools := factory.New()
//	tools.Streams.Printf("ready\n")
package factory

import (
	"github.com/magnoliawall/magnoliawall/internal/terminal"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/mesh"
)

// Factory holds the dependencies of a command. Tests replace single fields.
type Factory struct {
	Streams *terminal.Streams
	// Design returns the design of the mesh to start.
	Design func() mesh.Design
	// Systems creates the nodes of each version.
	Systems SystemFactories
}

// SystemFactories has a constructor for the nodes of each version.
type SystemFactories struct {
	Magnolia func() mesh.Patcher
	Naive    func() mesh.Patcher
}

// New returns the dependencies of the program.
func New() *Factory {
	return &Factory{
		Streams: terminal.System(),
		Design:  mesh.GotaJusta,
		Systems: SystemFactories{
			Magnolia: func() mesh.Patcher { return &mesh.Magnolia{} },
			Naive:    func() mesh.Patcher { return &mesh.Naive{} },
		},
	}
}

// Package factory holds what every command of magnolia-load is given.
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

// Factory is what a command needs from outside. A test sets its own fields.
type Factory struct {
	Streams *terminal.Streams
	// Design gives the mesh that is brought up.
	Design func() mesh.Design
	// Systems gives new nodes of each version.
	Systems Systems
}

// Systems gives new nodes of each version.
type Systems struct {
	Magnolia func() mesh.Patcher
	Naive    func() mesh.Patcher
}

// New gives the factory of the program.
func New() *Factory {
	return &Factory{
		Streams: terminal.System(),
		Design:  mesh.GotaJusta,
		Systems: Systems{
			Magnolia: func() mesh.Patcher { return &mesh.Magnolia{} },
			Naive:    func() mesh.Patcher { return &mesh.Naive{} },
		},
	}
}

package root_test

import (
	"context"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/command/factory"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/command/root"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"magnolia-load": func() {
			os.Exit(int(root.Main(context.Background(), factory.New(), os.Args[1:])))
		},
	})
}

func TestCommands(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata"})
}

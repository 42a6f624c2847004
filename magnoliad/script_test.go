package main_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestScripts runs the scripts in testdata with the real program and a copy of the
// examples.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", filepath.Dir(programPath)+string(os.PathListSeparator)+env.Getenv("PATH"))
			return os.CopyFS(filepath.Join(env.WorkDir, "examples"), os.DirFS("../examples"))
		},
	})
}

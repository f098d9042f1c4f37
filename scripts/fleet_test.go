// Package scripts_test tests the shell functions in scripts/lib.
package scripts_test

import (
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"
)

// TestScripts runs the test scripts in testdata.
func TestScripts(t *testing.T) {
	lib, err := filepath.Abs("lib")
	assert.NilError(t, err)
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("LIB", lib)
			return nil
		},
	})
}

// Package scripts_test checks the functions that the scripts share.
package scripts_test

import (
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"
)

// TestScripts plays the sessions in testdata.
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

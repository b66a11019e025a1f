package command

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"pinevane": func() { os.Exit(Run(os.Args[1:])) },
	})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "../../scenarios",
		Setup: func(environment *testscript.Env) error {
			root, err := os.Getwd()
			if err != nil {
				return err
			}
			environment.Setenv("EXAMPLES", root+"/../../examples")
			return nil
		},
	})
}

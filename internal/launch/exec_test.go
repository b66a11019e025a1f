package launch

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Daemons start no processes: only this package may import os/exec.
func TestOnlyThisPackageStartsProcesses(t *testing.T) {
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		inside := strings.Contains(filepath.ToSlash(path), "internal/launch/")
		for _, spec := range file.Imports {
			if spec.Path.Value == `"os/exec"` && !inside {
				t.Errorf("%s imports os/exec", path)
			}
		}
		return nil
	})
	require.NoError(t, err)
}

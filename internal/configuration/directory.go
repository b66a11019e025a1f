package configuration

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"pinevane.example/pinevane/coordination/monotonic"
	"pinevane.example/pinevane/internal/fault"
)

// DeploymentFile is the name of the file that describes the emulated fleet. It is not
// published and not part of the configuration.
const DeploymentFile = "deployment.yaml"

// ReadDirectory returns all YAML and JSON documents below a directory, keyed by their
// relative paths.
func ReadDirectory(directory string) (map[string][]byte, error) {
	documents := map[string][]byte{}
	walk := func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return &fault.InvalidDocument{Document: path, Path: "document", Reason: err.Error()}
		}
		if entry.IsDir() || !isDocument(entry.Name()) {
			return nil
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return &fault.InvalidDocument{Document: path, Path: "document", Reason: err.Error()}
		}
		key, err := filepath.Rel(directory, path)
		if err != nil {
			key = path
		}
		documents[filepath.ToSlash(key)] = data
		return nil
	}
	if err := filepath.WalkDir(directory, walk); err != nil {
		return nil, err
	}
	if len(documents) == 0 {
		return nil, &fault.InvalidDocument{Document: directory, Path: "document", Reason: "directory holds no YAML or JSON document"}
	}
	return documents, nil
}

func isDocument(name string) bool {
	if name == DeploymentFile {
		return false
	}
	switch strings.ToLower(filepath.Ext(name)) {
	case ".yaml", ".yml", ".json":
		return true
	}
	return false
}

// ParseDirectory reads the documents of a directory and parses them as revision 1.
func ParseDirectory(directory string) (*Snapshot, error) {
	documents, err := ReadDirectory(directory)
	if err != nil {
		return nil, err
	}
	return Parse(monotonic.Version{Epoch: 1, Revision: 1}, documents)
}
